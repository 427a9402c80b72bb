#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/stand-ins ] || { echo "run review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" timeout 118 target/review/stand-ins late-check-in "$here/record.txt"
code=$?
# The time limit, or a fault of the script itself.
[ "$code" -le 1 ] || exit 2
exit "$code"
