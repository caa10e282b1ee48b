#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/standins review/standins-2/main.rs
