#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Writes record.txt beside this script. KEEP_LOGS=FOLDER keeps the controllers' logs.
set -u
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.." || exit 2
[ -x "target/review/case$number" ] || bash review/build.sh || exit 2
read -r -a command <<<"$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)"
[ -x "${command[0]:-}" ] || { echo "the program is not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 118 "target/review/case$number" "$here/record.txt" "$folder" "${command[@]}" &
child=$!
# The controllers end with the process that started them.
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
