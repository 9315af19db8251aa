#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9 into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -Werror -Wno-missing-field-initializers -pthread)
for part in Http Deployment; do
    g++ "${flags[@]}" -c "review/standins-2/$part.cpp" -o "target/review-2/$part.o"
done
for program in LateCheckIn PipelinedStop SilentConnections; do
    g++ "${flags[@]}" "review/standins-2/$program.cpp" target/review-2/Deployment.o target/review-2/Http.o -o "target/review-2/$program"
done
