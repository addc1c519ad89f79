#!/usr/bin/env bash
# Builds the second review's stand-ins: one program a case, with the standard library only. It is
# to run after the build of the deploy file; what it makes goes under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case-2.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O --crate-name "case_$number" -o "target/review-2/case-$number" "$source"
done
