#!/bin/bash
# Builds the cases 4 to 8 with their stand-ins, after the build of the deploy file. The results are
# under target/review-2. A case includes the sources of its stand-ins, so that review/build.sh, which
# takes every folder below review, builds it as well.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-missing-field-initializers"
library="$(pkg-config --cflags --libs jansson)"
for folder in review/[4-8]; do
    [ -f "$folder/case.c" ] || continue
    # shellcheck disable=SC2086
    ${CC:-cc} $flags -o "target/review-2/$(basename "$folder")" "$folder/case.c" $library
done
