#!/usr/bin/env bash
# run-case.sh N: runs the program of case N, which review/build.sh built, and writes
# review/N/record.txt. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
cd "$(dirname "$0")/.." || exit 2
program="target/review/case-$1"
if [ ! -x "$program" ]; then
  echo "$program is missing; run review/build.sh" >&2
  exit 2
fi
timeout --kill-after=5 115 "$program" "review/$1/record.txt"
status=$?
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
