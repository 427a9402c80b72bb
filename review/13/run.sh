#!/usr/bin/env bash
# Case 13: starts a small deployment with the commands of the deploy file and the stand-ins of
# review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
stand_ins=$root/target/review-3/stand-ins
if [ ! -x "$stand_ins" ]; then
    "$root/review/build-3.sh" || exit 2
fi
exec "$stand_ins" unfinished-heads "$root" "$here/record.txt"
