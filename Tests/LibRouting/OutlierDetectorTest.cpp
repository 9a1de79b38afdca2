#include "LibRouting/OutlierDetector.h"
#include "LibRouting/RetryBudget.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr TargetTable::Slot TargetCount = 10;

OutlierDetector makeDetector() {
  OutlierDetector Outliers({});
  for (TargetTable::Slot SlotIndex = 0; SlotIndex < TargetCount; ++SlotIndex)
    Outliers.add(SlotIndex, Start);
  return Outliers;
}

} // namespace

TEST_CASE("a target that is slower than the others is ejected for a while") {
  OutlierDetector Outliers = makeDetector();
  TimePoint Now = Start;
  for (int I = 0; I < 10; ++I) {
    Now += 500ms;
    for (TargetTable::Slot SlotIndex = 0; SlotIndex < TargetCount; ++SlotIndex)
      Outliers.observe(SlotIndex, 100ms, SlotIndex == 3 ? 1s : 100ms, Now);
  }
  CHECK(Outliers.isEjected(3, Now));
  CHECK(Outliers.slowness(3, Now) > 3);
  CHECK(Outliers.ejectedCount(Now) == 1);
  CHECK_FALSE(Outliers.isEjected(3, Now + 1min));
}

TEST_CASE("an overload of all targets ejects none") {
  OutlierDetector Outliers = makeDetector();
  TimePoint Now = Start;
  for (int I = 0; I < 20; ++I) {
    Now += 500ms;
    for (TargetTable::Slot SlotIndex = 0; SlotIndex < TargetCount; ++SlotIndex)
      Outliers.observe(SlotIndex, 100ms, 100ms + I * 50ms, Now);
  }
  CHECK(Outliers.ejectedCount(Now) == 0);
}

TEST_CASE("failures of all targets eject at most the allowed share") {
  OutlierDetector Outliers = makeDetector();
  for (int I = 0; I < 5; ++I)
    for (TargetTable::Slot SlotIndex = 0; SlotIndex < TargetCount; ++SlotIndex)
      Outliers.failed(SlotIndex, Start);
  CHECK(Outliers.ejectedCount(Start) == TargetCount / 2);
}

TEST_CASE("a target that fails again is ejected for longer") {
  OutlierDetector Outliers = makeDetector();
  for (int I = 0; I < 3; ++I)
    Outliers.failed(0, Start);
  CHECK(Outliers.isEjected(0, Start + 4s));
  CHECK_FALSE(Outliers.isEjected(0, Start + 6s));
  Outliers.failed(0, Start + 6s);
  CHECK(Outliers.isEjected(0, Start + 15s));
  CHECK_FALSE(Outliers.isEjected(0, Start + 17s));
}

TEST_CASE("an unreachable target is ejected immediately") {
  OutlierDetector Outliers = makeDetector();
  Outliers.unreachable(2, Start);
  CHECK(Outliers.isEjected(2, Start + 1s));
  for (TargetTable::Slot SlotIndex = 0; SlotIndex < TargetCount; ++SlotIndex)
    Outliers.unreachable(SlotIndex, Start);
  CHECK(Outliers.ejectedCount(Start) == TargetCount / 2);
}

TEST_CASE("a new target reaches its full share after the slow start") {
  OutlierDetector Outliers = makeDetector();
  CHECK(Outliers.loadShare(0, Start) == doctest::Approx(0.2));
  CHECK(Outliers.loadShare(0, Start + 5s) == doctest::Approx(0.6));
  CHECK(Outliers.loadShare(0, Start + 1min) == 1);
}

TEST_CASE("retries add less than 20% to the load") {
  RetryBudget Budget({});
  for (int I = 0; I < 1000; ++I) {
    Budget.firstAttempt();
    while (Budget.tryRetry()) {
    }
  }
  CHECK(Budget.amplification() < 1.2);
  CHECK(Budget.refused() > 0);
}
