#!/bin/sh
# Builds the stand-ins of the cases. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[123]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case$number" "$case"
done
