#!/bin/sh
# Builds the stand-ins and drivers of the cases, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
