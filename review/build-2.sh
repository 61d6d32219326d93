#!/bin/bash
# Builds the stand-ins of the cases 6 and later. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 &&
    rustc --edition 2024 -O -o target/review-2/harness review/harness-2/main.rs
