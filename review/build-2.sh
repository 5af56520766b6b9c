#!/bin/sh
# Builds the stand-ins of the cases in review/4 and later. Needs the Rust compiler and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/trial review/stand-ins-2/main.rs
