#!/bin/bash
# Builds the programs that the scripts of the second review start, without a network. Run it after
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --offline --locked --target-dir ../../target/review-2
