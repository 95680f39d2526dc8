#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, the store among them. The daemon is built by the command of the
# deploy file. Needs only the Rust compiler, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
  name=$(basename "$source" .rs)
  # The module that the others share.
  [ "$name" = kit ] || rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
