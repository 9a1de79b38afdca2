#include "CrashFleet.h"

#include "LibObserve/StructuredLog.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr int FleetSizes[] = {1, 9, 90, 300};

CrashFleetSettings settingsOf(int Hosts) {
  startLogging("test", "test", LogLevel::Error);
  CrashFleetSettings Settings;
  Settings.Hosts = Hosts;
  Settings.Targets = std::max(12, Hosts / 2);
  Settings.RequestsPerSecond = 100 + Hosts;
  Settings.DeadlyPerSecond = 1 + Hosts / 100.0;
  return Settings;
}

/// After the fifth crash and the time to react, three more requests may be
/// sent; of sound requests, one in a hundred may be refused.
void checkResults(const CrashFleetResults &Results) {
  for (std::size_t Kind = 0; Kind < Results.Crashes.size(); ++Kind) {
    CAPTURE(Kind);
    CHECK(Results.Crashes[Kind] >= 1);
    CHECK(Results.LateSends[Kind] <= 3);
  }
  CHECK(Results.SoundRefused * 100 <= Results.SoundRequests);
}

} // namespace

TEST_CASE("a deadly part is found in a fleet where hardly any host sees two "
          "crashes") {
  for (int Hosts : FleetSizes)
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      CAPTURE(Hosts);
      CAPTURE(Seed);
      CrashFleet Fleet(settingsOf(Hosts), Seed);
      Fleet.runFor(30s);
      checkResults(Fleet.Results);
      CHECK(Fleet.hostsThatRefuse(0) == Hosts);
    }
}

TEST_CASE("several deadly parts are found at once") {
  for (int Hosts : FleetSizes) {
    CAPTURE(Hosts);
    CrashFleetSettings Settings = settingsOf(Hosts);
    Settings.DeadlyKinds = 3;
    CrashFleet Fleet(Settings, 1);
    Fleet.runFor(40s);
    checkResults(Fleet.Results);
  }
}

TEST_CASE("a deadly part is found while many targets crash for other reasons") {
  for (int Hosts : FleetSizes)
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
      CAPTURE(Hosts);
      CAPTURE(Seed);
      CrashFleet Fleet(settingsOf(Hosts), Seed);
      for (int I = 0; I < 6; ++I) {
        Fleet.runFor(4s);
        Fleet.crashTargets(0.3);
      }
      checkResults(Fleet.Results);
    }
}

TEST_CASE("no part is blamed for targets that only crash for other reasons") {
  for (int Hosts : FleetSizes)
    for (double Share : {0.1, 0.3, 1.0}) {
      CAPTURE(Hosts);
      CAPTURE(Share);
      CrashFleetSettings Settings = settingsOf(Hosts);
      Settings.DeadlyKinds = 0;
      CrashFleet Fleet(Settings, 1);
      for (int I = 0; I < 6; ++I) {
        Fleet.runFor(2s);
        Fleet.crashTargets(Share);
      }
      checkResults(Fleet.Results);
    }
}

TEST_CASE("a deadly part is found without the log, from messages that may be "
          "lost") {
  for (int Hosts : FleetSizes) {
    CAPTURE(Hosts);
    CrashFleetSettings Settings = settingsOf(Hosts);
    Settings.LostPerCent = 20;
    CrashFleet Fleet(Settings, 1);
    Fleet.setStoreOut(true);
    Fleet.runFor(30s);
    checkResults(Fleet.Results);
  }
}

TEST_CASE("hosts that were cut off or start later learn of a deadly part") {
  for (int Hosts : {9, 90, 300}) {
    CAPTURE(Hosts);
    CrashFleet Fleet(settingsOf(Hosts), 1);
    Fleet.split(Hosts / 3);
    Fleet.runFor(20s);
    Fleet.split(0);
    Fleet.runFor(2s);
    CHECK(Fleet.hostsThatRefuse(0) == Hosts);
    for (int I = 0; I < Hosts; ++I)
      Fleet.restart(I);
    CHECK(Fleet.hostsThatRefuse(0) == Hosts);
  }
}

TEST_CASE("what is recorded stays bounded while callers make up parts") {
  CrashFleet Fleet(settingsOf(9), 1);
  Fleet.setMadeUpPerSecond(20);
  Fleet.runFor(30s);
  checkResults(Fleet.Results);
  CHECK(Fleet.Results.MostTraits <= QuarantinePolicy().MaxTraits);
  // One datagram for each other host and update.
  CHECK(Fleet.Results.Messages <= 9 * 8 * 30 * 5);
}

TEST_CASE("a part that only ever occurred with a deadly one is served without "
          "it") {
  for (int Hosts : FleetSizes) {
    CAPTURE(Hosts);
    CrashFleetSettings Settings = settingsOf(Hosts);
    Settings.HasDeadlySubject = true;
    CrashFleet Fleet(Settings, 1);
    Fleet.runFor(30s);
    checkResults(Fleet.Results);
    CHECK(Fleet.serveDeadlySubject(10) == 10);
    CHECK(Fleet.hostsThatRefuse(0) == Hosts);
  }
}

TEST_CASE("a part that is sound again is served again, after few probes") {
  CrashFleetSettings Settings = settingsOf(9);
  Settings.Policy.Retention = 20s;
  CrashFleet Fleet(Settings, 1);
  Fleet.runFor(15s);
  CHECK(Fleet.hostsThatRefuse(0) == 9);
  int Crashes = Fleet.Results.Crashes[0];
  Fleet.runFor(60s);
  // One probe after each retention time.
  CHECK(Fleet.Results.Crashes[0] <= Crashes + 3);
  Fleet.heal(0);
  Fleet.runFor(60s);
  CHECK(Fleet.hostsThatRefuse(0) == 0);
}
