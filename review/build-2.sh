#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the Rust compiler and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    source=review/$number/case.rs
    [ -f "$source" ] || continue
    rustc --edition 2024 -C opt-level=2 -o "target/review-2/case-$number" "$source"
done
