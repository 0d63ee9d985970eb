#!/usr/bin/env bash
# Builds the cases of the second review with their stand-ins. It needs Rust's compiler alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand_in-2/main.rs
