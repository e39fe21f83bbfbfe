#!/bin/bash
# Builds the programs of the scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
libs="libuv libh2o libprotobuf-c glib-2.0 jansson libxxhash"
flags="-std=gnu11 -O2 -g -Wall -Wextra -Iinclude -Isource -I. -D_GNU_SOURCE
    -DH2O_USE_LIBUV=1 $(pkg-config --cflags $libs)"
mkdir -p target/review
for source in review/[1-5]/case.c; do
	[ -e "$source" ] || continue
	case=$(basename "$(dirname "$source")")
	${CC:-cc} $flags -o "target/review/case-$case" "$source" \
	    review/common/*.c platform/test/standin.c \
	    target/libdffshell.a target/libdragonflyfall.a \
	    $(pkg-config --libs $libs) -lhttp_parser -lssl -lcrypto -lz -lm
done
