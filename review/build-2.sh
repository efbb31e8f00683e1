#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2, after the build of the
# deploy file. They need a C++20 compiler and the C library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g0 -Wall -Wextra -pthread -Ireview/lab)
g++ "${flags[@]}" -c review/lab/lab.cpp -o "$out/lab.o"
for source in review/lab/*.cpp; do
  name="$(basename "$source" .cpp)"
  [ "$name" = lab ] || g++ "${flags[@]}" "$source" "$out/lab.o" -o "$out/$name"
done
