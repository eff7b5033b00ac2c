#!/bin/bash
# Builds the stand-ins of the cases into target/review. Needs only what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case$number" "$source" &
done
wait
for source in review/[0-9]*/case.cpp; do
  test -x "target/review/case$(basename "$(dirname "$source")")"
done
