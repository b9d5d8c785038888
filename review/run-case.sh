#!/usr/bin/env bash
# Runs one case: prepares a temporary folder, and starts its driver from the repository's root.
# Usage: review/run-case.sh NUMBER. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
number=$1
driver=target/review/case-$number
[ -x "$driver" ] && [ -x target/release/hallrelay ] || { echo "not built: see review/build.sh"; exit 2; }
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
FOLDER=$(mktemp -d) || exit 2
RECORD=$PWD/review/$number/record.txt
export RUN_COMMAND FOLDER RECORD
"$driver"
status=$?
[ -n "$KEEP" ] && echo "kept: $FOLDER" || rm -rf "$FOLDER"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
