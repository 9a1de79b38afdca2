#include "LibRelayFront/StopPlan.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {
constexpr TimePoint Begin{1h};
} // namespace

TEST_CASE("a stopping host accepts calls that may be repeated at first, then "
          "those it can complete") {
  StopPlan Plan{StopPolicy{}};
  CHECK(Plan.accepts(Begin + 1h, true, Begin));
  Plan.begin(8s, Begin);
  CHECK(Plan.accepts(Begin + 12s, true, Begin + 2s));
  // A stream of 15 s accepted 4 s after the signal would be cut off by the
  // kill.
  CHECK_FALSE(Plan.accepts(Begin + 19s, true, Begin + 4s));
  CHECK(Plan.accepts(Begin + 7s, true, Begin + 4s));
}

// Guards against orders that were passed on late in the grace and cut at its
// end, so that their callers could not know whether they had run.
TEST_CASE("a call that may not be repeated is neither accepted nor passed on "
          "if it can outlast the host, at any moment of any grace") {
  StopPlan Calm{StopPolicy{}};
  CHECK(Calm.accepts(TimePoint::max(), false, Begin));
  CHECK(Calm.maySend(TimePoint::max(), false));
  for (Duration Grace : {Duration::zero(), Duration(300ms), Duration(1s),
                         Duration(3s), Duration(8s), Duration(30s)}) {
    StopPlan Plan{StopPolicy{}};
    Plan.begin(Grace, Begin);
    for (Duration At{}; At <= Grace; At += 50ms) {
      TimePoint Now = Begin + At;
      CHECK_FALSE(Plan.accepts(TimePoint::max(), false, Now));
      CHECK_FALSE(Plan.accepts(Begin + Grace, false, Now));
      CHECK_FALSE(Plan.maySend(Begin + Grace, false));
      CHECK(Plan.accepts(Plan.answerDeadline(), false, Now));
      // What is accepted can still be worked on.
      CHECK((!Plan.accepts(TimePoint::max(), true, Now) ||
             !Plan.mustAnswer(Now)));
    }
  }
}

TEST_CASE("calls in progress are answered before the exit, and not earlier "
          "than needed") {
  StopPlan Plan{StopPolicy{}};
  CHECK_FALSE(Plan.mustAnswer(Begin + 1h));
  Plan.begin(8s, Begin);
  CHECK_FALSE(Plan.mustAnswer(Begin + 7400ms));
  CHECK(Plan.mustAnswer(Begin + 7500ms));
  CHECK(Plan.exitDeadline() == Begin + 7700ms);
}

// Guards against calls that are ended though a sound target still has time for
// them, since what is reserved is most of a short grace.
TEST_CASE("targets can use all but an eighth of a grace, however short") {
  for (Duration Grace = 1s; Grace <= 30s; Grace += 500ms) {
    StopPlan Plan{StopPolicy{}};
    Plan.begin(Grace, Begin);
    CHECK(Plan.answerDeadline() >= Begin + Grace * 7 / 8);
    CHECK(Plan.answerDeadline() < Plan.exitDeadline());
    CHECK(Plan.exitDeadline() < Begin + Grace);
  }
}

// Guards against connections that the load balancer opened on a stopping host
// and that were closed at once, unread.
TEST_CASE("a new connection gets time for its first request while the host "
          "stops") {
  StopPlan Plan{StopPolicy{}};
  Plan.begin(8s, Begin);
  CHECK(Plan.idleDeadline(std::nullopt) == Begin + 400ms);
  CHECK(Plan.idleDeadline(Begin - 2s) == Begin + 400ms);
  CHECK(Plan.idleDeadline(Begin + 2s) == Begin + 3s);
  CHECK(Plan.idleDeadline(Begin + 7s) == Plan.answerDeadline());
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
