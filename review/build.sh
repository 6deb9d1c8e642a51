#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the daemon: one program with
# all stand-ins, from the packages that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -pthread -o target/review/review_case review/stand_ins/main.cpp
