#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail

cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/standin/Standin.cpp -o target/review/Standin.o
for source in review/[1-5]/Case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/Standin.o -o "target/review/case-$number"
done
