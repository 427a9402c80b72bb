#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/stand-ins ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/stand-ins queued-stop "$here/record.txt"
