#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. The daemon itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --bin sorrelturn-platform
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
