#!/bin/sh
# Builds the stand-ins that the scripts of review/N start. Needs no network and no library.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/kit/Cargo.toml --target-dir target/review
