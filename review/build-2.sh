#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: one program, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/stand-2/main.rs -o target/review-2/stand
