#!/usr/bin/env bash
# Plays the case $1 and writes review/$2/record.txt; ends all processes that the case started.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/stand-ins
if [ ! -x "$program" ] || [ ! -x target/release/shallothill-platform ]; then
    echo "build the programs of the deploy file first, then run review/build-2.sh"
    exit 2
fi
PIDS_FILE=$(mktemp)
export PIDS_FILE
cleanup() {
    while read -r pid; do
        # Only while the id is still that of a process of this case.
        if grep -qaE 'shallothill-platform|stand-ins' "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid" 2>/dev/null
        fi
    done < "$PIDS_FILE"
    rm -f "$PIDS_FILE"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
timeout 116 "$program" "$1" "review/$2" &
wait $!
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
