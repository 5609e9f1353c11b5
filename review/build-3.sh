#!/usr/bin/env bash
# Builds the stand-ins of cases 11 and 12; needs no network after the deploy file's build and
# build-2.sh. The scripts call it themselves if their stand-ins are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-3/Cargo.toml
