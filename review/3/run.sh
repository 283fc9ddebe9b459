#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case_program=$root/target/review/release/stale_start
export PROGRAM=$root/target/release/weirhinge
export RECORD="${RECORD:-$here/record.txt}"
[ -x "$PROGRAM" ] && [ -x "$case_program" ] || "$here/../build.sh" >&2 || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 110 "$case_program"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
