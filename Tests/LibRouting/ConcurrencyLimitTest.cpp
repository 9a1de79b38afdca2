#include "LibRouting/ConcurrencyLimit.h"
#include "LibRouting/DrainRate.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

ConcurrencyLimitSettings onDemand() {
  ConcurrencyLimitSettings Settings;
  Settings.SignsToBegin = 5;
  Settings.MaxLateShare = 0.2;
  Settings.Backoff = 0.9;
  Settings.Growth = 0.1;
  Settings.Period = 1s;
  return Settings;
}

/// A limit that began at \p Running requests.
ConcurrencyLimit makeBegun(std::size_t Running) {
  ConcurrencyLimit Limit(onDemand());
  for (int I = 0; I < 5; ++I)
    Limit.observe(true, Start, Running, Start);
  REQUIRE(Limit.isActive());
  return Limit;
}

} // namespace

// Guards against a limit on hosts that see single late answers only.
TEST_CASE("a limit on demand does not begin at few signs, at a small share of "
          "signs, or at signs that are spread over time") {
  ConcurrencyLimit Few(onDemand());
  for (int I = 0; I < 4; ++I)
    Few.observe(true, Start, 100, Start);
  CHECK(Few.permits(1'000'000));
  ConcurrencyLimit SmallShare(onDemand());
  for (int I = 0; I < 100; ++I)
    SmallShare.observe(I % 10 == 9, Start, 100, Start);
  CHECK(SmallShare.permits(1'000'000));
  ConcurrencyLimit Spread(onDemand());
  for (int I = 0; I < 100; ++I)
    Spread.observe(true, Start + I * 300ms, 100, Start + I * 300ms);
  CHECK(Spread.permits(1'000'000));
  CHECK(std::isinf(Spread.limit()));
}

TEST_CASE("a limit on demand begins below the requests in flight, shrinks "
          "while signs go on, and grows while it holds requests back") {
  ConcurrencyLimit Limit = makeBegun(100);
  CHECK(Limit.limit() == doctest::Approx(90));
  CHECK(Limit.permits(89));
  CHECK(!Limit.permits(90));
  TimePoint Now = Start;
  for (int I = 0; I < 3; ++I) {
    for (int J = 0; J < 10; ++J)
      Limit.observe(J < 3, Now, 80, Now);
    Now += 1s;
  }
  Limit.advance(Now);
  double Shrunk = Limit.limit();
  CHECK(Shrunk == doctest::Approx(90 * 0.9 * 0.9 * 0.9));
  for (int I = 0; I < 3; ++I) {
    Limit.observe(false, Now, 60, Now);
    CHECK(!Limit.permits(1000));
    Now += 1s;
  }
  Limit.advance(Now);
  CHECK(Limit.limit() == doctest::Approx(Shrunk * 1.1 * 1.2 * 1.3));
}

// Guards against a limit that falls to its minimum while the answers arrive to
// what was sent before it began.
TEST_CASE("after a reduction, a limit on demand shrinks at once by new signs, "
          "and not by those of earlier calls") {
  ConcurrencyLimit Limit = makeBegun(100);
  for (int I = 0; I < 100; ++I)
    Limit.observe(true, Start - 1ms, 90, Start + 500ms);
  Limit.advance(Start + 1s);
  CHECK(Limit.limit() == doctest::Approx(90));
  for (int I = 0; I < 5; ++I)
    Limit.observe(true, Start + 1s, 90, Start + 1100ms);
  CHECK(Limit.limit() == doctest::Approx(81));
}

// Guards against a limit that outlives the overload.
TEST_CASE("a limit on demand ends after four periods in which it held nothing "
          "back, with or without calls") {
  ConcurrencyLimit Busy = makeBegun(100);
  for (int I = 1; I <= 3; ++I) {
    Busy.observe(false, Start + I * 1s, 10, Start + I * 1s);
    CHECK(Busy.isActive());
  }
  Busy.observe(false, Start + 4s, 10, Start + 4s);
  CHECK(!Busy.isActive());
  ConcurrencyLimit Idle = makeBegun(100);
  Idle.advance(Start + 1h);
  CHECK(Idle.permits(1'000'000));
}

TEST_CASE("a limit on demand stays above its minimum") {
  ConcurrencyLimit Limit = makeBegun(1);
  for (int I = 0; I < 100; ++I)
    Limit.observe(true, Start + I * 500ms, 4, Start + I * 500ms);
  CHECK(Limit.limit() == doctest::Approx(onDemand().Min));
}

// Guards against early refusals by a rate that was never measured, and by that
// of a time with little load.
TEST_CASE("without an assumed rate, the first window sets it, a higher one "
          "raises it at once, and a backlogged one lowers it slowly") {
  DrainRate Rate{std::nullopt};
  CHECK(std::isinf(Rate.perSecond()));
  Rate.started(0, false, Start);
  Rate.started(100, false, Start + 500ms);
  Rate.blocked(Start + 1s);
  CHECK(Rate.perSecond() == doctest::Approx(100));
  Rate.started(1000, false, Start + 1500ms);
  Rate.blocked(Start + 2s);
  CHECK(Rate.perSecond() == doctest::Approx(1000));
  Rate.started(10, false, Start + 2500ms);
  Rate.blocked(Start + 3s);
  CHECK(Rate.perSecond() == doctest::Approx(1000));
  Rate.started(500, true, Start + 3500ms);
  Rate.blocked(Start + 4s);
  CHECK(Rate.perSecond() == doctest::Approx(850));
}
