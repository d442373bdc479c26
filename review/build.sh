#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]*/; do
    number=$(basename "$folder")
    # shellcheck disable=SC2046
    gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o "target/review/case$number" \
        "review/$number/case.c" review/standins/*.c $(pkg-config --cflags --libs jansson) -lpthread
done
