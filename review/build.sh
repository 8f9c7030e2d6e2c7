#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-mismatched-new-delete -pthread)
g++ "${flags[@]}" -c review/stand_ins/scene.cpp -o target/review/scene.o
for source in review/[1-5]/scenario.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/scene.o \
        -o "target/review/scenario-$number"
done
