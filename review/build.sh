#!/bin/sh
# Builds the stand-ins of the review's cases; needs the project's toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
