#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, with the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin-2 "$source" -o "target/review-2/$name" -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
