#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10, after the build of
# deploy/system.toml, with the same packages.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
libs="libuv libh2o libprotobuf-c glib-2.0 jansson libxxhash"
for case in review/6 review/7 review/8 review/9 review/10; do
	[ -e "$case/case.c" ] || continue
	# shellcheck disable=SC2046
	gcc -std=gnu11 -g -O2 -Wall -Wextra -Werror -Iinclude -Isource -I. \
	    -D_GNU_SOURCE -DH2O_USE_LIBUV=1 $(pkg-config --cflags $libs) \
	    -o "$out/case-$(basename "$case")" "$case/case.c" \
	    review/common-2/rig.c platform/test/standin.c \
	    platform/test/worker.c platform/test/worker_answers.c \
	    target/libdffshell.a target/libdragonflyfall.a \
	    $(pkg-config --libs $libs) -lhttp_parser -lssl -lcrypto -lz -lm \
	    -lpthread
done
