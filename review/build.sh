#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only, so this needs
# no network and no downloaded crate.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
