#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 and up start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked --target-dir ../../target/review-2
