#!/usr/bin/env bash
# Plays the case; with TROUBLE=0, without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/review-3/FloodedList ] && [ -x target/bin/bergamothook-relay ] || exit 2
exec target/review-3/FloodedList review/12
