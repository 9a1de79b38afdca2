#include "LibRelayFront/StopPlan.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {
constexpr TimePoint Begin{1h};
} // namespace

TEST_CASE("a stopping host takes what it can finish, and all at first") {
  StopPlan Plan{StopPolicy{}};
  CHECK(Plan.takes(Begin + 1h, Begin));
  Plan.begin(8s, Begin);
  CHECK(Plan.takes(Begin + 12s, Begin + 2s));
  // Seen in a hunt: a stream of 15 s, taken 4 s after the signal, was cut.
  CHECK_FALSE(Plan.takes(Begin + 19s, Begin + 4s));
  CHECK(Plan.takes(Begin + 7s, Begin + 4s));
}

TEST_CASE("a stopping host ends when it is empty, or at its bound") {
  StopPlan Plan{StopPolicy{}};
  CHECK_FALSE(Plan.mayExit(0, 0, Begin));
  Plan.begin(8s, Begin);
  CHECK_FALSE(Plan.mayExit(0, 0, Begin + 1s));
  CHECK(Plan.mayExit(0, 0, Begin + 3s));
  CHECK_FALSE(Plan.mayExit(1, 1, Begin + 7s));
  CHECK(Plan.mayExit(1, 1, Begin + 7800ms));
  // A second signal changes nothing.
  Plan.begin(8s, Begin + 5s);
  CHECK(Plan.end() == Begin + 7700ms);
}
