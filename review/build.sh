#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; they need nothing but the compiler's own library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=3 -o target/review/case review/stand-in/main.rs
