#!/bin/bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/rig effect-change review/3
