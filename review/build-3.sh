#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = common ] && continue
  rustc --edition 2021 -O -o "target/review-3/$name" "$source"
done
