#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in torn switch crowd; do
    rustc -O --edition 2024 -A dead_code -o "target/review-2/$name" "review/standins-2/$name.rs"
done
