#!/usr/bin/env bash
# Runs one case: prepares a temporary folder, starts the case's driver from the repository's root, and ends what is
# left of its processes.
# Usage: review/run-case.sh NUMBER. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
number=$1
driver=target/review/case-$number
[ -x "$driver" ] && [ -x target/release/hallrelay ] || { echo "not built: see review/build.sh"; exit 2; }
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
FOLDER=$(mktemp -d) || exit 2
RECORD=$PWD/review/$number/record.txt
export RUN_COMMAND FOLDER RECORD

clean_up() {
  for id in $(cat "$FOLDER/processes" 2>/dev/null); do
    [ "$(cat "/proc/$id/comm" 2>/dev/null)" = hallrelay ] && kill -KILL "$id"
  done
  rm -rf "$FOLDER"
}
trap clean_up EXIT
trap 'kill -KILL "$pid" 2>/dev/null; exit 2' INT TERM HUP

"$driver" &
pid=$!
wait "$pid"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
