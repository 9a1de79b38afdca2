#include "LibLoan/HostRoster.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

RosterHost hostOf(int Number, int Domains) {
  return {"host-" + std::to_string(Number),
          "domain-" + std::to_string(Number % Domains), "10.0.0.1:1", 7};
}

HostRoster makeRoster(int Self, int Hosts, int Domains) {
  HostRoster Roster(hostOf(Self, Domains), {});
  for (int I = 0; I < Hosts; ++I)
    Roster.put(hostOf(I, Domains));
  return Roster;
}

} // namespace

TEST_CASE("each failure domain has one home, and all hosts agree on it") {
  for (int Hosts : {6, 84, 195, 300}) {
    constexpr int Domains = 5;
    constexpr unsigned Partitions = 16;
    for (unsigned Partition = 0; Partition < Partitions; ++Partition) {
      std::set<HostId> All;
      int Homes = 0;
      for (int Self = 0; Self < Hosts; ++Self) {
        HostRoster Roster = makeRoster(Self, Hosts, Domains);
        const auto &Listed = Roster.homes(Partition);
        REQUIRE(Listed.size() == Domains);
        All.insert(Listed.begin(), Listed.end());
        CHECK(Roster.find(Listed.front())->FailureDomain ==
              Roster.self().FailureDomain);
        Homes += Roster.isHome(Partition) ? 1 : 0;
      }
      CHECK(All.size() == Domains);
      CHECK(Homes == Domains);
    }
  }
}

TEST_CASE("a silent home has a successor until it responds") {
  HostRoster Roster = makeRoster(0, 20, 2);
  HostId First = Roster.homes(3).back();
  CHECK(Roster.markSilent(First, Start));
  CHECK_FALSE(Roster.markSilent(First, Start));
  HostId Second = Roster.homes(3).back();
  CHECK(Second != First);
  CHECK(Roster.takeDueProbes(Start + 100ms).empty());
  CHECK(Roster.takeDueProbes(Start + 600ms) == std::vector{First});
  // The interval between probes doubles.
  CHECK(Roster.takeDueProbes(Start + 1s).empty());
  CHECK(Roster.takeDueProbes(Start + 2s) == std::vector{First});
  CHECK(Roster.markResponsive(First));
  CHECK(Roster.homes(3).back() == First);
}

TEST_CASE("a new run of a silent host is not silent") {
  HostRoster Roster = makeRoster(0, 20, 2);
  HostId First = Roster.homes(3).back();
  Roster.markSilent(First, Start);
  RosterHost Restarted = *Roster.find(First);
  Roster.put(Restarted); // An unchanged entry has no effect.
  CHECK(Roster.homes(3).back() != First);
  Restarted.Run = 8;
  Roster.put(Restarted);
  CHECK(Roster.homes(3).back() == First);
}

TEST_CASE("a leaving host is not a home even if it still sends messages") {
  HostRoster Roster = makeRoster(0, 20, 2);
  HostId First = Roster.homes(3).back();
  Roster.markLeaving(First, Start);
  CHECK_FALSE(Roster.markResponsive(First));
  CHECK(Roster.homes(3).back() != First);
  // A host that did not leave after all is probed eventually.
  CHECK(Roster.takeDueProbes(Start + 21s) == std::vector{First});
  CHECK(Roster.markResponsive(First));
  CHECK(Roster.homes(3).back() == First);
}

TEST_CASE("a record of an earlier run does not replace this host's entry") {
  HostRoster Roster = makeRoster(0, 3, 3);
  RosterHost Old = Roster.self();
  Old.Run = 1;
  Old.Address = "10.9.9.9:1";
  Roster.replaceAll({Old}, Start);
  CHECK(Roster.hosts() == 1);
  CHECK(*Roster.find(Old.id()) == Roster.self());
  Roster.remove(Old.Name, Start);
  CHECK(Roster.hosts() == 1);
}

TEST_CASE("a stopping host is not a home") {
  HostRoster Roster = makeRoster(0, 1, 1);
  CHECK(Roster.isHome(0));
  Roster.beginStop();
  CHECK_FALSE(Roster.isHome(0));
  CHECK(Roster.homes(0).empty());
}

TEST_CASE("all hosts agree on the first hosts for a key, also on silent ones") {
  for (int Hosts : {1, 6, 300}) {
    HostRoster First = makeRoster(0, Hosts, 3);
    HostRoster Other = makeRoster(Hosts - 1, Hosts, 3);
    Other.markSilent(First.self().id(), Start);
    auto Expected = First.firstHosts("key", 8, Start);
    CHECK(Expected.size() == static_cast<std::size_t>(std::min(Hosts, 8)));
    CHECK(Other.firstHosts("key", 8, Start) == Expected);
    CHECK(First.firstResponsive("key") == Expected.front());
  }
}

TEST_CASE("a host that was removed a moment ago keeps its place for a key") {
  HostRoster Roster = makeRoster(0, 20, 2);
  auto Before = Roster.firstHosts("key", 8, Start);
  Roster.remove(Roster.find(Before[3])->Name, Start + 1s);
  CHECK(Roster.firstHosts("key", 8, Start) == Before);
  CHECK(Roster.firstHosts("key", 8, Start + 2s) != Before);
}
