#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, beside the
# daemon that the deploy file builds. Run it at the project's root.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/stand_ins_2/*.cpp; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers \
    -o "target/review-2/$(basename "$it" .cpp)" "$it" &
done
wait
for it in review/stand_ins_2/*.cpp; do test -x "target/review-2/$(basename "$it" .cpp)"; done
