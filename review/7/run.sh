#!/bin/bash
# Runs the case. Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could
# not run. With TROUBLE=0 the disruption is left out. Build the project and review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/7 ] || { echo "build it first: bash review/build-2.sh" >&2; exit 2; }
timeout -k 1 119 target/review-2/7 target/pepperpulley review/7
status=$?
[ $status -le 2 ] || status=2
exit $status
