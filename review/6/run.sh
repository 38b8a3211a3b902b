#!/bin/sh
# A stream route with a plain service, of which a worker crashes in the middle of its streams. Takes 17 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ragwortgrade ] && [ -x target/review-2/torn ] || exit 2
exec target/review-2/torn review/6
