#!/bin/sh
# Runs the case; TROUBLE=0 leaves the slow store and the kills out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=review/standins-3/target/release/review-standins-3
for needed in "$program" target/release/shallotflow-platform-entry target/release/shallotflow-platform-agent; do
    [ -x "$needed" ] || { echo "$needed is missing: run the build of deploy/system.toml and review/build-3.sh" >&2; exit 2; }
done
exec "$program" slow "$here"
