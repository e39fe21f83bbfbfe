#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15 into build/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for case in review/1[1-5]; do
	[ -f "$case/case.c" ] || continue
	cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview/common-3 \
		-o "build/review-3/case-${case#review/}" \
		"$case/case.c" review/common-3/readers.c review/common-3/rig.c \
		-lpthread
done
