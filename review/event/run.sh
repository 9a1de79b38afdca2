#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail

case_folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$case_folder/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=TERM --kill-after=5 110 "target/review/case-$(basename "$case_folder")" "$case_folder/record.txt" "$folder"
result=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
[ "$result" -le 1 ] || result=2
exit "$result"
