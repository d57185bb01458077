#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/release/nettlemux ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
"$program" "review/$number/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
