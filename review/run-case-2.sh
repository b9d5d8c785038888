#!/usr/bin/env bash
# Plays one of the cases 6 to 10, and ends what is left of the relays that it started, however it ends.
# Usage: review/run-case-2.sh NUMBER CASE. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption. Wants the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/.." || exit 2
for program in target/release/hallrelay target/review-2/stand; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
PROCESSES=$(mktemp) || exit 2
export PROCESSES

clean_up() {
  for id in $(cat "$PROCESSES"); do
    [ "$(cat "/proc/$id/comm" 2>/dev/null)" = hallrelay ] && kill -KILL "$id"
  done
  rm -f "$PROCESSES"
}
trap clean_up EXIT
trap 'kill -KILL "$player" 2>/dev/null; exit 2' INT TERM HUP

target/review-2/stand "$2" "$1" &
player=$!
wait "$player"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
