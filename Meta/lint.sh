#!/usr/bin/env bash
# Lints one file: lint.sh BUILD FILE, in the root of the tree. A file that was clean is not read again
# while everything that the linter sees is the same: the preprocessed text with its comments, the
# linter, its settings and the build's. The record of it is a cache like the compiler's.
set -euo pipefail

build=$1
file=$2
cache=${BERGAMOTHOOK_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/bergamothook-lint}
flags=(-std=c++20 -I. -ILibraries -DBERGAMOTHOOK_VERSION=\"\" -DBERGAMOTHOOK_TEST_DATA=\"\"
  -DELPP_THREAD_SAFE -DELPP_NO_DEFAULT_LOG_FILE)

# Nothing where the text can't be made, so that the file is linted anew.
key_of() {
  local text
  text=$(clang++-16 -E -C "${flags[@]}" "$file" 2>/dev/null | sha256sum) || return 0
  {
    echo "$file $text"
    clang-tidy-16 --version
    cat .clang-tidy CMakeLists.txt Meta/lint.sh Meta/CMake/*.cmake Tests/CMakeLists.txt
    cat "$(dirname "$file")/Depends.cmake" 2>/dev/null || true
  } | sha256sum | cut -d' ' -f1
}

key=$(key_of)
[ -n "$key" ] && [ -e "$cache/$key" ] && exit 0
clang-tidy-16 --quiet -p "$build" "$file" 2>/dev/null
if [ -n "$key" ]; then
  mkdir -p "$cache"
  : >"$cache/$key"
fi
