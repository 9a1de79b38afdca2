#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, into target/review-2/.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I"$root")
g++ "${flags[@]}" -c "$root/review/standin-2/Standin2.cpp" -o "$out/Standin2.o"
for source in "$root"/review/{6,7,8,9,10}/Case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/Standin2.o" -pthread -o "$out/case-$number"
done
