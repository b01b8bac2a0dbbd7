#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Needs rustc only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/stand-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
