#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standin review/standin-3/main.rs
