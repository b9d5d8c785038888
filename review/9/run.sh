#!/usr/bin/env bash
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Wants the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/hallrelay target/review-2/stand; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-2/stand drained-backend-after-restart-with-pushed-lists 9
