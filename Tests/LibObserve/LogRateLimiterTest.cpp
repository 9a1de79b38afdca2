#include "LibObserve/LogRateLimiter.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LineBytes = 400;
const TimePoint Start{};

int countAdmitted(LogRateLimiter &Limiter, LogLevel Level, int Lines,
                  TimePoint Now) {
  int Count = 0;
  for (int I = 0; I < Lines; ++I)
    Count += Limiter.admit(Level, LineBytes, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("a flood of lines stays within the rate limit in every second") {
  LogRateLimits Limits;
  Limits.LinesPerSecond = 100;
  Limits.Burst = 1s;
  LogRateLimiter Limiter(Limits, Start);
  CHECK(countAdmitted(Limiter, LogLevel::Warning, 5000, Start) == 100);
  for (int Second = 1; Second <= 10; ++Second)
    CHECK(countAdmitted(Limiter, LogLevel::Warning, 5000,
                        Start + Second * 1s) <= 100);
}

TEST_CASE("long lines are limited by their size in bytes") {
  LogRateLimits Limits;
  Limits.BytesPerSecond = 10 * LineBytes;
  Limits.Burst = 1s;
  LogRateLimiter Limiter(Limits, Start);
  CHECK(countAdmitted(Limiter, LogLevel::Error, 100, Start) == 10);
}

TEST_CASE("lines below warning leave half of the budget to failures") {
  LogRateLimits Limits;
  Limits.LinesPerSecond = 100;
  Limits.Burst = 1s;
  LogRateLimiter Limiter(Limits, Start);
  CHECK(countAdmitted(Limiter, LogLevel::Info, 1000, Start) == 50);
  CHECK(countAdmitted(Limiter, LogLevel::Warning, 1000, Start) == 50);
}

TEST_CASE("unreported drop counts are added to the next report") {
  LogRateLimiter Limiter({}, Start);
  Limiter.countDropped("call_ended", 3);
  for (const auto &[Event, Lines] : Limiter.takeDropped(Start))
    Limiter.countDropped(Event, Lines);
  Limiter.countDropped("call_ended");
  CHECK(Limiter.takeDropped(Start + 1s) == DroppedLines{{"call_ended", 4}});
}

TEST_CASE("dropped lines are reported once per second, by event") {
  LogRateLimiter Limiter({}, Start);
  CHECK(Limiter.takeDropped(Start).empty());
  Limiter.countDropped("call_ended");
  Limiter.countDropped("call_ended");
  CHECK(Limiter.takeDropped(Start) == DroppedLines{{"call_ended", 2}});
  Limiter.countDropped("store_lost");
  CHECK(Limiter.takeDropped(Start + 500ms).empty());
  CHECK(Limiter.takeDropped(Start + 1s) == DroppedLines{{"store_lost", 1}});
}
