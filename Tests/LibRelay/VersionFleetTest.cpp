#include "VersionFleet.h"

#include "LibObserve/StructuredLog.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const std::vector<int> VersionFleetSizes = {1, 9, 90, 300};

using Setup = std::function<void(VersionFleetSettings &)>;

/// Runs \p Play on fleets of several sizes, whose targets are of one version so
/// far.
void onFleets(
    const std::vector<int> &Sizes, std::uint64_t Seeds,
    const std::function<void(VersionFleet &, int Hosts)> &Play,
    const Setup &Change = [](VersionFleetSettings &) {}) {
  startLogging("test", "test", LogLevel::Error);
  for (int Hosts : Sizes)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Hosts);
      CAPTURE(Seed);
      VersionFleetSettings Settings;
      Settings.Hosts = Hosts;
      Settings.StreamsPerSecond = 60 + Hosts;
      Change(Settings);
      VersionFleet Fleet(Settings, Seed);
      Fleet.setTargets("v1", 10);
      Fleet.runFor(5s);
      Fleet.Results = {};
      Play(Fleet, Hosts);
    }
}

/// No stream is of two versions, and resumed streams continue nearly as often
/// as new ones begin.
void checkResults(const VersionFleetResults &Results,
                  double ExpectedShare = 0.9) {
  CAPTURE(Results.Resumed);
  CAPTURE(Results.Continued);
  CAPTURE(Results.NotBegun);
  CAPTURE(Results.Begun);
  CHECK(Results.Joined == 0);
  CHECK(Results.Resumed >= 12);
  CHECK(Results.Continued >= ExpectedShare * Results.Resumed);
  CHECK(Results.NotBegun * 20 <= Results.Begun);
  CHECK(Results.LongestLookup <= 700ms);
}

/// Replaces targets of one version by those of another, in steps.
void roll(VersionFleet &Fleet, const std::string &From, const std::string &To,
          int Targets, int Replaced) {
  for (int Count = 1; Count <= Replaced; ++Count) {
    Fleet.setTargets(To, Count);
    Fleet.runFor(400ms);
    Fleet.setTargets(From, Targets - Count);
  }
}

/// Kills all hosts, which are back after \p Downtime.
void restartAll(VersionFleet &Fleet, int Hosts, Duration Downtime) {
  Fleet.kill(0, Hosts);
  Fleet.runFor(Downtime);
  Fleet.start(0, Hosts);
}

} // namespace

TEST_CASE("while one version serves, nothing is written for streams, and they "
          "are resumed after the loss of all hosts") {
  onFleets(VersionFleetSizes, 1, [](VersionFleet &Fleet, int Hosts) {
    Fleet.runFor(20s);
    CHECK(Fleet.Results.VersionReads == 0);
    for (int I = 0; I < 3; ++I) {
      restartAll(Fleet, Hosts, 1s);
      Fleet.runFor(4s);
    }
    Fleet.breakStreams(0.5);
    Fleet.runFor(4s);
    checkResults(Fleet.Results, 0.97);
    CHECK(Fleet.Results.OriginWrites == 0);
    CHECK(Fleet.Results.OriginReads == 0);
    CHECK(Fleet.Results.VersionWrites == 0);
    // Each host reads once when it starts, and once for each stream that is
    // resumed until it has watched the list for long enough.
    CHECK(Fleet.Results.VersionReads <= 3 * Hosts + Fleet.Results.Resumptions);
  });
}

TEST_CASE("streams continue at their version during a release, when hosts and "
          "targets are lost") {
  onFleets(VersionFleetSizes, 3, [](VersionFleet &Fleet, int Hosts) {
    roll(Fleet, "v1", "v2", 10, 5);
    for (int I = 0; I < 4; ++I) {
      Fleet.breakStreams(0.3);
      if (Hosts > 1)
        restartAll(Fleet, Hosts / 3, 1s);
      Fleet.runFor(3s);
    }
    checkResults(Fleet.Results);
  });
}

TEST_CASE("streams continue at their version after the loss of all hosts") {
  onFleets(VersionFleetSizes, 3, [](VersionFleet &Fleet, int Hosts) {
    roll(Fleet, "v1", "v2", 10, 5);
    for (int I = 0; I < 4; ++I) {
      restartAll(Fleet, Hosts, 1s);
      Fleet.runFor(4s);
    }
    checkResults(Fleet.Results);
  });
}

TEST_CASE("a version that came into service or left while all hosts were down "
          "is not taken for the only one") {
  onFleets(VersionFleetSizes, 3, [](VersionFleet &Fleet, int Hosts) {
    Fleet.kill(0, Hosts);
    Fleet.setTargets("v2", 10);
    Fleet.setTargets("v1", 0);
    Fleet.runFor(1s);
    Fleet.start(0, Hosts);
    Fleet.runFor(5s);
    Fleet.setTargets("v3", 10);
    Fleet.runFor(2s);
    Fleet.setTargets("v2", 0);
    restartAll(Fleet, Hosts, 500ms);
    Fleet.runFor(5s);
    CHECK(Fleet.Results.Joined == 0);
    CHECK(Fleet.Results.NotBegun * 5 <= Fleet.Results.Begun);
  });
}

TEST_CASE("a release is taken back, and three versions serve") {
  onFleets(VersionFleetSizes, 1, [](VersionFleet &Fleet, int) {
    roll(Fleet, "v1", "v2", 10, 7);
    Fleet.breakStreams(0.5);
    roll(Fleet, "v2", "v1", 7, 4);
    Fleet.breakStreams(0.5);
    roll(Fleet, "v1", "v3", 7, 3);
    Fleet.breakStreams(0.5);
    Fleet.runFor(3s);
    checkResults(Fleet.Results);
  });
}

TEST_CASE(
    "streams continue at their version while the store is out, and messages "
    "are lost") {
  auto Play = [](VersionFleet &Fleet, int Hosts) {
    Fleet.setStoreOut(true);
    Fleet.breakStreams(0.5);
    Fleet.runFor(3s);
    Fleet.setStoreOut(false);
    roll(Fleet, "v1", "v2", 10, 5);
    Fleet.setStoreOut(true);
    Fleet.runFor(1s);
    Fleet.breakStreams(0.5);
    Fleet.runFor(3s);
    Fleet.setStoreOut(false);
    Fleet.runFor(3s);
    // Nobody can be asked by a fleet of one host, and answers are lost.
    checkResults(Fleet.Results, Hosts > 1 ? 0.75 : 0.4);
  };
  onFleets(VersionFleetSizes, 1, Play,
           [](VersionFleetSettings &Settings) { Settings.LostPerCent = 10; });
}

TEST_CASE("hosts that are cut off from the others and from the store don't "
          "guess") {
  onFleets({9, 90, 300}, 3, [](VersionFleet &Fleet, int Hosts) {
    Fleet.split(Hosts / 3);
    roll(Fleet, "v1", "v2", 10, 5);
    Fleet.breakStreams(0.5);
    Fleet.runFor(3s);
    Fleet.split(0);
    Fleet.breakStreams(0.5);
    Fleet.runFor(3s);
    CHECK(Fleet.Results.Joined == 0);
  });
}

TEST_CASE("a store that comes back from a copy does not lose versions") {
  onFleets(VersionFleetSizes, 3, [](VersionFleet &Fleet, int Hosts) {
    roll(Fleet, "v1", "v2", 10, 5);
    Fleet.setTargets("v1", 0);
    Fleet.restoreStore(4s);
    Fleet.runFor(2s);
    restartAll(Fleet, Hosts, 0s);
    Fleet.runFor(4s);
    Fleet.breakStreams(0.5);
    Fleet.runFor(3s);
    checkResults(Fleet.Results, 0.8);
  });
}

TEST_CASE(
    "hosts with a list of a moment ago do not miss a version that has just "
    "come into service") {
  auto Play = [](VersionFleet &Fleet, int) {
    Fleet.setTargets("v2", 30);
    for (int I = 0; I < 100; ++I) {
      Fleet.runFor(20ms);
      Fleet.breakStreams(0.5);
    }
    Fleet.runFor(1s);
    checkResults(Fleet.Results);
  };
  onFleets({9, 90, 300}, 3, Play, [](VersionFleetSettings &Settings) {
    Settings.StreamsPerSecond *= 4;
    Settings.MaxResumeDelay = 50ms;
  });
}

TEST_CASE("streams that began before a release continue during it") {
  auto Play = [](VersionFleet &Fleet, int Hosts) {
    Fleet.runFor(4s);
    Fleet.setTargets("v2", 1);
    Fleet.runFor(2s);
    restartAll(Fleet, Hosts, 0s);
    Fleet.runFor(4s);
    checkResults(Fleet.Results);
  };
  onFleets(VersionFleetSizes, 1, Play, [](VersionFleetSettings &Settings) {
    Settings.MinStream = 10s;
    Settings.MaxStream = 20s;
  });
}

TEST_CASE("callers that use ids twice do no harm to others, and the cost is "
          "bounded") {
  onFleets(VersionFleetSizes, 1, [](VersionFleet &Fleet, int Hosts) {
    roll(Fleet, "v1", "v2", 10, 5);
    Fleet.runFor(18s);
    // Two writers, for each of two partitions, of which each writes twenty
    // times a second at most.
    CHECK(Fleet.Results.OriginWrites <= 20 * 2 * 2 * 20 * 11 / 10);
    CHECK(Fleet.Results.VersionReads <= 20 * Hosts);
    CHECK(Fleet.Results.VersionWrites <= 2 + Hosts);
    CHECK(Fleet.Results.Messages <= 4 * Fleet.Results.Begun);
    Fleet.reuseIds();
    Fleet.runFor(3s);
    Fleet.breakStreams(0.5);
    Fleet.runFor(3s);
    CHECK(Fleet.Results.Joined == 0);
  });
}

namespace {

std::set<int> chooseHosts(Random &Rng, int Hosts) {
  std::set<int> Chosen;
  std::uint64_t Count = 1 + Rng.below(static_cast<std::uint64_t>(Hosts) / 2);
  while (Chosen.size() < Count)
    Chosen.insert(
        static_cast<int>(Rng.below(static_cast<std::uint64_t>(Hosts))));
  return Chosen;
}

/// One state of the fleet, with any of the faults.
void injectFaults(VersionFleet &Fleet, Random &Rng, int Hosts) {
  std::set<int> Chosen = chooseHosts(Rng, Hosts);
  std::set<int> Homes = Fleet.homesOf(static_cast<unsigned>(Rng.below(2)));
  Homes.insert(Chosen.begin(), Chosen.end());
  auto Happens = [&](std::uint64_t OneIn) { return Rng.below(OneIn) == 0; };
  Fleet.turnAway(Happens(2) ? (Happens(2) ? Homes : Chosen) : std::set<int>{});
  Fleet.cutPeers(Happens(3) ? (Happens(2) ? Chosen : chooseHosts(Rng, Hosts))
                            : std::set<int>{},
                 Happens(2));
  Fleet.freeze(Happens(3) ? chooseHosts(Rng, Hosts) : std::set<int>{},
               Happens(2));
  Fleet.setStoreOut(Happens(6));
  Fleet.setLostPerCent(Happens(3) ? 10 : 0);
}

void endFaults(VersionFleet &Fleet) {
  Fleet.turnAway({});
  Fleet.cutPeers({}, false);
  Fleet.freeze({}, false);
  Fleet.setStoreOut(false);
  Fleet.setLostPerCent(0);
}

} // namespace

// Guards against streams resumed at an older version by hosts that the store
// turned away, and that took their own record for that of all (review/3).
TEST_CASE("hosts that the store turns away don't take their record for that of "
          "the fleet") {
  auto Play = [](VersionFleet &Fleet, int) {
    for (unsigned Partition : {0U, 1U}) {
      Fleet.turnAway(Fleet.homesOf(Partition));
      Fleet.runFor(500ms);
      Fleet.setTargets("v2", 10);
      Fleet.runFor(4s);
      Fleet.breakStreams(0.8);
      Fleet.runFor(3s);
      Fleet.turnAway({});
      Fleet.runFor(1s);
    }
    CHECK(Fleet.Results.Joined == 0);
    CHECK(Fleet.Results.Resumed >= 12);
  };
  onFleets({3, 9, 90, 300}, 3, Play);
}

// Guards against the same whichever hosts are turned away, cut off from others
// or stand still while a version comes into service.
TEST_CASE("no schedule of faults during a release joins two versions") {
  auto Play = [](std::uint64_t Seed) {
    return [Seed](VersionFleet &Fleet, int Hosts) {
      Random Rng(Seed);
      Fleet.runFor(6s);
      int Next = 2;
      for (int State = 0; State < 12; ++State) {
        injectFaults(Fleet, Rng, Hosts);
        if (State % 4 == 0)
          Fleet.setTargets("v" + std::to_string(Next++), 10);
        for (int I = 0; I < 8; ++I) {
          Fleet.runFor(std::chrono::milliseconds(20 + Rng.below(300)));
          Fleet.breakStreams(0.4);
        }
        if (Rng.below(4) == 0) {
          int Lost =
              static_cast<int>(Rng.below(static_cast<std::uint64_t>(Hosts)));
          if (Rng.below(2) == 0)
            Fleet.leave(Lost);
          else
            Fleet.kill(Lost, Lost + 1);
          Fleet.runFor(100ms);
          Fleet.start(Lost, Lost + 1);
        }
        if (Rng.below(3) == 0)
          endFaults(Fleet);
      }
      endFaults(Fleet);
      Fleet.runFor(3s);
      CHECK(Fleet.Results.Joined == 0);
    };
  };
  auto Change = [](VersionFleetSettings &Settings) {
    Settings.StreamsPerSecond = 60;
    Settings.MaxResumeDelay = 300ms;
  };
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    CAPTURE(Seed);
    onFleets({3, 9}, 1, Play(Seed), Change);
  }
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CAPTURE(Seed);
    onFleets({90, 300}, 1, Play(Seed), Change);
  }
}

TEST_CASE("while one version serves and the store is out, streams are resumed "
          "nearly as often as new ones begin, at a bounded cost") {
  onFleets({3, 9, 90, 300}, 1, [](VersionFleet &Fleet, int Hosts) {
    Fleet.runFor(10s);
    Fleet.setStoreOut(true);
    Fleet.runFor(1s);
    Fleet.Results = {};
    Fleet.breakStreams(Hosts < 90 ? 0.5 : 0.2);
    Fleet.runFor(4s);
    checkResults(Fleet.Results, 0.97);
    // Homes are asked for each stream, and each host asks all others at most
    // once in a poll interval; each question has an answer.
    double Polls = std::min<double>(Fleet.Results.Resumed,
                                    Hosts * 4 / (0.05 + 0.001 * Hosts));
    CHECK(Fleet.Results.Messages <=
          2 * (3 * Fleet.Results.Resumed + Polls * Hosts));
  });
}

// Guards against streams resumed at an older version by a host that stood still
// or was cut off while a version came into service.
TEST_CASE("a host that was out of step during a release does not resume "
          "streams by what it knew before") {
  bool IsSuspended = false;
  SUBCASE("its process stood still") {}
  SUBCASE("its machine was suspended, so that its clock stood still too") {
    IsSuspended = true;
  }
  auto Play = [IsSuspended](VersionFleet &Fleet, int Hosts) {
    Fleet.runFor(10s);
    std::set<int> Stopped;
    for (int Host = 0; Host < Hosts / 3; ++Host)
      Stopped.insert(Host);
    for (int Release = 2; Release < 5; ++Release) {
      Fleet.freeze(Stopped, IsSuspended);
      Fleet.runFor(200ms);
      Fleet.setTargets("v" + std::to_string(Release), 30);
      Fleet.runFor(2s);
      Fleet.breakStreams(0.9);
      Fleet.freeze({}, false);
      Fleet.runFor(400ms);
      Fleet.cutPeers(Stopped, true);
      Fleet.breakStreams(0.9);
      Fleet.runFor(2s);
      Fleet.cutPeers({}, false);
    }
    CHECK(Fleet.Results.Joined == 0);
    CHECK(Fleet.Results.Resumed >= 12);
  };
  onFleets({9, 90}, 3, Play, [](VersionFleetSettings &Settings) {
    Settings.StreamsPerSecond = 200;
    Settings.MaxResumeDelay = 100ms;
  });
}
