#!/usr/bin/env bash
# Builds the programs of the review's cases into target/review. The project's own daemon is built by
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/standin "$source" review/standin/*.cpp \
    -o "target/review/case-$number" &
done
wait
for source in review/[1-9]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  test -x "target/review/case-$number"
done
