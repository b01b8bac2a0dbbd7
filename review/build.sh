#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They have no dependencies, so no network is needed.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
