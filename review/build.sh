#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, except balsam-node, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$@"; }
compile -c review/standins/Standins.cpp -o target/review/Standins.o
for scenario in review/*/scenario.cpp; do
    number=$(basename "$(dirname "$scenario")")
    compile "$scenario" target/review/Standins.o -o "target/review/scenario-$number" -pthread
done
