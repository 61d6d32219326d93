#!/usr/bin/env bash
# Builds the stand-ins and cases of the review with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/harness/main.rs
