#!/bin/sh
# Runs the case `foreign-report`; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/rig foreign-report "$here/record.txt" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
