#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and later. They use the standard library only. The project's own
# programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cell review/stand-in-2/main.rs
