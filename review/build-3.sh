#!/usr/bin/env bash
# Builds the programs that the scripts of the third review start, into target/review-3.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
compile() { "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I. -ILibraries "$@"; }
compile -c review/standin-3/Rig.cpp -o target/review-3/Rig.o
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = Rig ] || compile "$source" target/review-3/Rig.o -o "target/review-3/$name"
done
