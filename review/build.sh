#!/bin/sh
# Builds the program under test and the stand-ins of the review's scripts.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --locked --offline --package weirhinge
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
