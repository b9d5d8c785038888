#!/usr/bin/env bash
# Builds the cases' drivers, which contain the stand-ins, with rustc alone. The relays are built by the command
# `build` of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for driver in review/[0-9]*/case.rs; do
  number=$(basename "$(dirname "$driver")")
  rustc --edition 2021 -O -o "target/review/case-$number" "$driver"
done
