#include "LibObserve/LogBound.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t LineBytes = 400;
const TimePoint Start{};

int admitted(LogBound &Bound, LogLevel Level, int Lines, TimePoint Now) {
  int Count = 0;
  for (int I = 0; I < Lines; ++I)
    Count += Bound.admit(Level, LineBytes, Now) ? 1 : 0;
  return Count;
}

} // namespace

TEST_CASE("a storm of lines stays under the bound in every second") {
  LogVolume Limits;
  Limits.LinesPerSecond = 100;
  Limits.Burst = 1s;
  LogBound Bound(Limits, Start);
  CHECK(admitted(Bound, LogLevel::Warning, 5000, Start) == 100);
  for (int Second = 1; Second <= 10; ++Second)
    CHECK(admitted(Bound, LogLevel::Warning, 5000, Start + Second * 1s) <= 100);
}

TEST_CASE("long lines are bounded by their bytes") {
  LogVolume Limits;
  Limits.BytesPerSecond = 10 * LineBytes;
  Limits.Burst = 1s;
  LogBound Bound(Limits, Start);
  CHECK(admitted(Bound, LogLevel::Error, 100, Start) == 10);
}

TEST_CASE("calm lines leave half of the room to failures") {
  LogVolume Limits;
  Limits.LinesPerSecond = 100;
  Limits.Burst = 1s;
  LogBound Bound(Limits, Start);
  CHECK(admitted(Bound, LogLevel::Info, 1000, Start) == 50);
  CHECK(admitted(Bound, LogLevel::Warning, 1000, Start) == 50);
}

TEST_CASE("what could not be told is told later, with what came since") {
  LogBound Bound({}, Start);
  Bound.countDropped("call_ended", 3);
  for (const auto &[Event, Lines] : Bound.takeDropped(Start))
    Bound.countDropped(Event, Lines);
  Bound.countDropped("call_ended");
  CHECK(Bound.takeDropped(Start + 1s) == DroppedLines{{"call_ended", 4}});
}

TEST_CASE("what was dropped is told once a second, by event") {
  LogBound Bound({}, Start);
  CHECK(Bound.takeDropped(Start).empty());
  Bound.countDropped("call_ended");
  Bound.countDropped("call_ended");
  CHECK(Bound.takeDropped(Start) == DroppedLines{{"call_ended", 2}});
  Bound.countDropped("store_lost");
  CHECK(Bound.takeDropped(Start + 500ms).empty());
  CHECK(Bound.takeDropped(Start + 1s) == DroppedLines{{"store_lost", 1}});
}
