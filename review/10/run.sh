#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/release/nettlemux ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
"$program" "$folder/record.txt" &
child=$!
# If the script is stopped, the program ends, and with it the processes that it has started.
trap 'kill "$child" 2>/dev/null; wait "$child"; rm -rf "$TMPDIR"; exit 2' HUP INT TERM
wait "$child"
status=$?
rm -rf "$TMPDIR"
[ "$status" -le 2 ] || status=2
exit "$status"
