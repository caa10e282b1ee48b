#!/usr/bin/env bash
# Builds the stand-ins of review/11 and up: one program, without libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standins-3/main.rs
