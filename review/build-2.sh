#!/bin/sh
# Builds the stand-ins of the second review; needs no network and no package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand-in-2/main.rs
