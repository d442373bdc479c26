#!/bin/bash
# Builds the stand-ins and the programs of the cases 4 to 8, after the build of the deploy file. The
# results are under target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-missing-field-initializers"
library="$(pkg-config --cflags --libs jansson)"
for folder in review/[4-8]; do
    [ -f "$folder/case.c" ] || continue
    ${CC:-cc} $flags -Ireview/standins-2 "$folder/case.c" review/standins-2/net.c \
        review/standins-2/stage.c $library -o "target/review-2/$(basename "$folder")"
done
