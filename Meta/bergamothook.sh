#!/usr/bin/env bash
# Builds, tests and runs bergamothook on a fresh Debian 12 machine.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=$root/Build
jobs=${BERGAMOTHOOK_JOBS:-$(nproc)}
unity=(-DCMAKE_UNITY_BUILD=ON -DCMAKE_UNITY_BUILD_BATCH_SIZE=5)

usage() {
  cat <<'TEXT'
Usage: Meta/bergamothook.sh COMMAND
  install                     install the Debian packages that the build needs
  build                       install and build into Build/
  run [--keep]                build, start a fleet of three hosts, and show it at work;
                              --keep leaves it up until Ctrl-C
  faults                      build, and try faults against a fleet of real processes
  test                        build and run every test through ctest
  bench [NAME] [--json FILE] [--seed N]
                              build and run one experiment, or all of them; "scale"
                              starts 3 to 100 real routers, "overhead" one
  check                       check format and lint
  sanitize                    build and test with the sanitizers in BuildSanitize/
TEXT
}

# shellcheck source=Meta/fleet.sh
source "$root/Meta/fleet.sh"
# shellcheck source=Meta/demo.sh
source "$root/Meta/demo.sh"
# shellcheck source=Meta/faults.sh
source "$root/Meta/faults.sh"
# shellcheck source=Meta/scale.sh
source "$root/Meta/scale.sh"

# Installs only what is missing, so that a second call needs no network.
install_packages() {
  local missing=()
  local name
  while read -r name; do
    dpkg-query -W -f '${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
  done <"$root/Meta/packages.txt"
  [ "${#missing[@]}" -eq 0 ] && return
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
}

configure() {
  cmake -S "$root" -B "$1" -G Ninja "${@:2}" >/dev/null
}

# Files are compiled several at a time, since most of the time goes into library
# headers that they share.
build_tree() {
  configure "$build" "${unity[@]}"
  cmake --build "$build" -j "$jobs" | tail -3
}

# Tests that KNOWN-RED.txt lists in lines "ctest: NAME" are not run, as one
# regular expression.
known_red_tests() {
  sed -n 's/^ctest: //p' "$root/KNOWN-RED.txt" | sed 's/[][().*+?^$|\\]/\\&/g' | paste -sd '|'
}

run_tests() {
  local known_red
  known_red=$(known_red_tests)
  ctest --test-dir "$1" -j "$jobs" --output-on-failure ${known_red:+-E "^($known_red)\$"}
}

sources() {
  (cd "$root" && git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h')
}

# The platform's names stay in platform/, and in its tests.
check_names() {
  ! (cd "$root" && git grep -nIiE \
    'X-Bergamothook-|Server-Limit|keyed\.(op|servers|status)|/-/log-|Kv-From|sloMs|routeKind' \
    -- '*.cpp' '*.h' ':!platform' ':!Tests/Platform')
}

# The linter reads each file for itself, which also finds missing includes.
lint_tree() {
  configure "$root/BuildLint"
  (cd "$root" && sources | grep '\.cpp$' |
    xargs -P "$jobs" -n 1 "$root/Meta/lint.sh" "$root/BuildLint")
}

check_tree() {
  check_names
  (cd "$root" && sources | xargs clang-format-16 --dry-run -Werror)
  lint_tree
}

command=${1:-help}
[ $# -gt 0 ] && shift
case "$command" in
install) install_packages ;;
build)
  install_packages
  build_tree
  ;;
run)
  install_packages
  build_tree
  run_demo "$@"
  ;;
faults)
  install_packages
  build_tree
  run_faults
  ;;
test)
  install_packages
  build_tree
  run_tests "$build"
  ;;
bench)
  install_packages
  build_tree
  if [ "${1:-}" = scale ]; then
    run_scale "${@:2}"
  elif [ "${1:-}" = request-cost ]; then
    run_request_cost
  elif [ "${1:-}" = overhead ]; then
    run_overhead "${@:2}"
  else
    "$build/bin/bergamothook-bench" "$@"
  fi
  ;;
check)
  install_packages
  check_tree
  ;;
sanitize)
  install_packages
  configure "$root/BuildSanitize" -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-O1 -DBERGAMOTHOOK_SANITIZE=ON \
    "${unity[@]}"
  cmake --build "$root/BuildSanitize" -j "$jobs"
  run_tests "$root/BuildSanitize"
  ;;
help | --help | -h) usage ;;
*)
  usage >&2
  exit 2
  ;;
esac
