#include "LimitFleet.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr int LimitFleetSizes[] = {9, 90, 300};

/// Number of random schedules for a fleet; the environment variable overrides
/// the default, which takes about as long for each size.
std::uint64_t scheduleCount(int Hosts) {
  const char *Value = std::getenv("BERGAMOTHOOK_SCHEDULES");
  return Value ? std::strtoull(Value, nullptr, 10)
               : static_cast<std::uint64_t>(1 + 40 / Hosts);
}

/// Calls per second to the whole fleet, far above the limits in these tests.
constexpr double HighLoad = 60;
constexpr double Limit = 2.3;

LimitFleetSettings fleetOf(int Hosts) {
  LimitFleetSettings Settings;
  Settings.Hosts = Hosts;
  return Settings;
}

/// \returns what the target got in the last \p Span, as a fraction of what
/// \p PerSecond allows.
double useOf(const LimitFleet &Fleet, int Target, double PerSecond,
             Duration Span) {
  return Fleet.arrivals(Target, Fleet.now() - Span, Fleet.now()) /
         (PerSecond * secondsOf(Span));
}

/// Applies one random fault, or its end.
void disturb(LimitFleet &Fleet, Random &Rng) {
  auto Host =
      static_cast<int>(Rng.below(static_cast<std::uint64_t>(Fleet.hosts())));
  switch (Rng.below(9)) {
  case 0:
    return Fleet.restart({Host});
  case 1:
    return Fleet.freeze(Host);
  case 2:
    return Fleet.setIsolated(Host, true);
  case 3:
    return Fleet.split(
        static_cast<int>(Rng.below(static_cast<std::uint64_t>(Fleet.hosts()))));
  case 4:
    return Fleet.split(0);
  case 5:
    return Fleet.addHost();
  case 6:
    if (Fleet.isRunning(Host))
      Fleet.stop(Host);
    return;
  case 7:
    return Fleet.setStoreOut(Rng.below(2) == 0);
  default:
    for (int Each = 0; Each < Fleet.hosts(); ++Each) {
      Fleet.thaw(Each);
      Fleet.setIsolated(Each, false);
    }
  }
}

} // namespace

TEST_CASE("a target does not get more than its limit from all hosts together") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(fleetOf(Hosts), 1);
    Fleet.setLimit(0, Limit);
    Fleet.load(HighLoad, 20s);
    CHECK(Fleet.worstExcess(0) <= 0);
  }
}

TEST_CASE("a limited target is used up to its limit while there is demand") {
  for (int Hosts : {1, 9, 90, 300}) {
    for (double PerSecond : {0.4, 2.3, 20.0}) {
      CAPTURE(Hosts);
      CAPTURE(PerSecond);
      LimitFleet Fleet(fleetOf(Hosts), 2);
      Fleet.setLimit(0, PerSecond);
      Fleet.load(5 * PerSecond + HighLoad, 30s);
      CHECK(Fleet.worstExcess(0) <= 0);
      CHECK(useOf(Fleet, 0, PerSecond, 25s) >= 0.85);
    }
  }
}

TEST_CASE("one host with all the demand uses the whole limit") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(fleetOf(Hosts), 3);
    Fleet.setLimit(0, Limit);
    Fleet.load(HighLoad, 20s, 1);
    CHECK(Fleet.worstExcess(0) <= 0);
    CHECK(useOf(Fleet, 0, Limit, 15s) >= 0.85);
  }
}

TEST_CASE("resends of failed calls stay within the limit") {
  LimitFleetSettings Settings = fleetOf(90);
  Settings.FailedPerMille = 500;
  LimitFleet Fleet(Settings, 4);
  for (int Target = 0; Target < Settings.Targets; ++Target)
    Fleet.setLimit(Target, Limit);
  Fleet.load(HighLoad, 20s);
  for (int Target = 0; Target < Settings.Targets; ++Target)
    CHECK(Fleet.worstExcess(Target) <= 0);
}

TEST_CASE("lost and duplicated messages between hosts do not exceed a limit") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleetSettings Settings = fleetOf(Hosts);
    Settings.LostPerMille = 200;
    Settings.DuplicatedPerMille = 200;
    LimitFleet Fleet(Settings, 5);
    Fleet.setLimit(0, Limit);
    Fleet.load(HighLoad, 30s);
    CHECK(Fleet.worstExcess(0) <= 0);
    CHECK(useOf(Fleet, 0, Limit, 25s) >= 0.6);
  }
}

TEST_CASE("a limit is kept while hosts are killed, frozen, cut off, stopped "
          "and added") {
  for (int Hosts : LimitFleetSizes) {
    for (std::uint64_t Seed = 1; Seed <= scheduleCount(Hosts); ++Seed) {
      CAPTURE(Hosts);
      CAPTURE(Seed);
      LimitFleet Fleet(fleetOf(Hosts), Seed);
      Random Rng(Seed);
      Fleet.setLimit(0, 1 + 9 * Rng.uniform());
      Fleet.load(HighLoad, 5s);
      for (int Step = 0; Step < 25; ++Step) {
        disturb(Fleet, Rng);
        Fleet.load(HighLoad, std::chrono::milliseconds(200 + Rng.below(2500)));
      }
      CHECK(Fleet.worstExcess(0) <= 0);
    }
  }
}

TEST_CASE("the limit is used again soon after its home died, froze or left") {
  for (int Hosts : LimitFleetSizes) {
    for (int Fault = 0; Fault < 3; ++Fault) {
      CAPTURE(Hosts);
      CAPTURE(Fault);
      LimitFleet Fleet(fleetOf(Hosts), 7);
      Fleet.setLimit(0, Limit);
      Fleet.load(HighLoad, 8s);
      int Home = Fleet.homeOf(0);
      if (Fault == 0)
        Fleet.kill(Home);
      else if (Fault == 1)
        Fleet.freeze(Home);
      else
        Fleet.stop(Home);
      Fleet.load(HighLoad, 20s);
      CHECK(Fleet.worstExcess(0) <= 0);
      CHECK(useOf(Fleet, 0, Limit, 14s) >= 0.7);
    }
  }
}

TEST_CASE("a host cut off from all others stays within its share") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(fleetOf(Hosts), 8);
    Fleet.setLimit(0, Limit);
    Fleet.load(HighLoad, 8s);
    for (int Host = 0; Host < Hosts; ++Host)
      Fleet.setIsolated(Host, true);
    Fleet.load(HighLoad, 30s);
    CHECK(Fleet.worstExcess(0) <= 0);
  }
}

TEST_CASE("both sides of a partition together stay within a limit") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(fleetOf(Hosts), 9);
    Fleet.setLimit(0, 10);
    Fleet.load(HighLoad, 8s);
    Fleet.split(Hosts / 2);
    Fleet.load(4 * HighLoad, 20s);
    CHECK(useOf(Fleet, 0, 10, 10s) >= 0.7);
    Fleet.split(0);
    Fleet.load(HighLoad, 20s);
    CHECK(Fleet.worstExcess(0) <= 0);
    CHECK(useOf(Fleet, 0, 10, 10s) >= 0.85);
  }
}

TEST_CASE("hosts that restart do not spend a limit that is leased already") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(fleetOf(Hosts), 10);
    Fleet.setLimit(0, 10);
    Fleet.load(HighLoad, 8s);
    std::vector<int> Restarted;
    for (int Host = 0; Host < Hosts; ++Host)
      if (Host != Fleet.homeOf(0))
        Restarted.push_back(Host);
    Fleet.restart(Restarted);
    Fleet.load(HighLoad, 20s);
    CHECK(Fleet.worstExcess(0) <= 0);
    CHECK(useOf(Fleet, 0, 10, 10s) >= 0.85);
  }
}

TEST_CASE("hosts that start while the store is out do not exceed a limit") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(fleetOf(Hosts), 16);
    Fleet.setLimit(0, 10);
    Fleet.load(HighLoad, 8s);
    Fleet.setStoreOut(true);
    Fleet.load(HighLoad, 8s);
    CHECK(useOf(Fleet, 0, 10, 6s) >= 0.85);
    std::vector<int> Restarted;
    for (int Host = 0; Host < Hosts; Host += 2)
      Restarted.push_back(Host);
    Fleet.restart(Restarted);
    Fleet.addHost();
    Fleet.load(HighLoad, 15s);
    CHECK(useOf(Fleet, 0, 10, 8s) > 0);
    Fleet.setStoreOut(false);
    Fleet.load(HighLoad, 15s);
    CHECK(useOf(Fleet, 0, 10, 6s) >= 0.85);
    CHECK(Fleet.worstExcess(0) <= 0);
  }
}

TEST_CASE("all hosts learn of a limit from those that were told") {
  LimitFleet Fleet(fleetOf(300), 11);
  Fleet.setLimit(0, Limit);
  Fleet.load(HighLoad, 4s, 3);
  for (int Host = 0; Host < Fleet.hosts(); ++Host)
    CHECK(Fleet.limitAt(Host, 0) == doctest::Approx(Limit));
}

TEST_CASE("a raised, lowered or withdrawn limit is in force within seconds") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(fleetOf(Hosts), 12);
    Fleet.setLimit(0, Limit);
    Fleet.load(HighLoad, 10s);
    Fleet.setLimit(0, 12);
    Fleet.load(2 * HighLoad, 10s);
    CHECK(useOf(Fleet, 0, 12, 6s) >= 0.85);
    Fleet.setLimit(0, 0.5);
    Fleet.load(HighLoad, 15s);
    CHECK(Fleet.worstExcess(0) <= 0);
    CHECK(useOf(Fleet, 0, 0.5, 10s) >= 0.6);
    Fleet.setLimit(0, std::nullopt);
    Fleet.load(HighLoad, 10s);
    CHECK(useOf(Fleet, 0, HighLoad / 4, 5s) >= 0.7);
  }
}

TEST_CASE("a target that replaces a limited one has no limit") {
  LimitFleet Fleet(fleetOf(90), 13);
  Fleet.setLimit(0, Limit);
  Fleet.load(HighLoad, 8s);
  int Replacement = Fleet.replaceTarget(0);
  Fleet.load(HighLoad, 5s);
  CHECK(useOf(Fleet, Replacement, HighLoad / 4, 3s) >= 0.7);
}

TEST_CASE("what no target can accept is refused at once with a time to "
          "return") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleetSettings Settings = fleetOf(Hosts);
    Settings.Targets = 2;
    LimitFleet Fleet(Settings, 14);
    Fleet.setLimit(0, 5);
    Fleet.setLimit(1, 5);
    Fleet.load(HighLoad, 10s);
    Fleet.Results = {};
    Fleet.load(HighLoad, 20s);
    CHECK(Fleet.Results.Refused > Fleet.Results.Served);
    CHECK(Fleet.Results.Served >= 0.85 * 10 * 20);
    CHECK(Fleet.Results.RefusedWithoutRetryAfter == 0);
    CHECK(Fleet.Results.LongestRefusal <= 200ms);
  }
}

TEST_CASE("most callers that return when they were told are served") {
  for (int Hosts : LimitFleetSizes) {
    CAPTURE(Hosts);
    LimitFleetSettings Settings = fleetOf(Hosts);
    Settings.Targets = 1;
    LimitFleet Fleet(Settings, 15);
    Fleet.setLimit(0, 10);
    Fleet.load(HighLoad, 10s);
    Fleet.runFor(3s);
    Fleet.Results = {};
    for (int Call = 0; Call < 50; ++Call)
      Fleet.call(Call % Fleet.hosts(), true);
    Fleet.runFor(1min);
    CHECK(Fleet.Results.Returned >= 30);
    CHECK(Fleet.Results.ServedOnReturn >= 0.8 * Fleet.Results.Returned);
  }
}
