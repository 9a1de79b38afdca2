#include "LibRelayFront/StopPlan.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {
constexpr TimePoint Begin{1h};
} // namespace

TEST_CASE(
    "a stopping host accepts all calls at first, then those it can complete") {
  StopPlan Plan{StopPolicy{}};
  CHECK(Plan.accepts(Begin + 1h, Begin));
  Plan.begin(8s, Begin);
  CHECK(Plan.accepts(Begin + 12s, Begin + 2s));
  // A stream of 15 s accepted 4 s after the signal would be cut off by the
  // kill.
  CHECK_FALSE(Plan.accepts(Begin + 19s, Begin + 4s));
  CHECK(Plan.accepts(Begin + 7s, Begin + 4s));
}

TEST_CASE("a stopping host exits when it is idle, or at its deadline") {
  StopPlan Plan{StopPolicy{}};
  CHECK_FALSE(Plan.mayExit(0, 0, Begin));
  Plan.begin(8s, Begin);
  CHECK_FALSE(Plan.mayExit(0, 0, Begin + 1s));
  CHECK(Plan.mayExit(0, 0, Begin + 3s));
  CHECK_FALSE(Plan.mayExit(1, 1, Begin + 7s));
  CHECK(Plan.mayExit(1, 1, Begin + 7800ms));
  // A second signal has no effect.
  Plan.begin(8s, Begin + 5s);
  CHECK(Plan.exitDeadline() == Begin + 7700ms);
}
