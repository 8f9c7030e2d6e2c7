#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the program of
# the deploy file, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
        -o "target/review-3/$(basename "$source" .cpp)"
done
