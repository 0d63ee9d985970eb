#!/bin/sh
# Builds the stand-ins of the review's scripts, with the standard library alone. The product is built as
# deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_in review/stand_in/main.rs
