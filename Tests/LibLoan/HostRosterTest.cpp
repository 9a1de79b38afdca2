#include "LibLoan/HostRoster.h"

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

TEST_CASE("each failure domain has one home, and all hosts name the same") {
  for (int Hosts : {6, 84, 195, 300}) {
    constexpr int Domains = 5;
    constexpr unsigned Partitions = 16;
    for (unsigned Part = 0; Part < Partitions; ++Part) {
      std::set<HostId> All;
      int Homes = 0;
      for (int Self = 0; Self < Hosts; ++Self) {
        HostRoster Roster = makeRoster(Self, Hosts, Domains);
        const auto &Named = Roster.homes(Part);
        REQUIRE(Named.size() == Domains);
        All.insert(Named.begin(), Named.end());
        CHECK(Roster.find(Named.front())->FailureDomain ==
              Roster.self().FailureDomain);
        Homes += Roster.isHome(Part) ? 1 : 0;
      }
      CHECK(All.size() == Domains);
      CHECK(Homes == Domains);
    }
  }
}

TEST_CASE("a silent home has a successor until it is heard") {
  HostRoster Roster = makeRoster(0, 20, 2);
  HostId First = Roster.homes(3).back();
  CHECK(Roster.onSilent(First, Start));
  CHECK_FALSE(Roster.onSilent(First, Start));
  HostId Second = Roster.homes(3).back();
  CHECK(Second != First);
  CHECK(Roster.takeProbes(Start + 100ms).empty());
  CHECK(Roster.takeProbes(Start + 600ms) == std::vector{First});
  // Probes come ever more rarely.
  CHECK(Roster.takeProbes(Start + 1s).empty());
  CHECK(Roster.takeProbes(Start + 2s) == std::vector{First});
  CHECK(Roster.onHeard(First));
  CHECK(Roster.homes(3).back() == First);
}

TEST_CASE("a new run of a silent host counts as well") {
  HostRoster Roster = makeRoster(0, 20, 2);
  HostId First = Roster.homes(3).back();
  Roster.onSilent(First, Start);
  RosterHost Reborn = *Roster.find(First);
  Roster.put(Reborn); // The same entry again says nothing.
  CHECK(Roster.homes(3).back() != First);
  Reborn.Run = 8;
  Roster.put(Reborn);
  CHECK(Roster.homes(3).back() == First);
}

TEST_CASE("a leaving host is no home though it still sends messages") {
  HostRoster Roster = makeRoster(0, 20, 2);
  HostId First = Roster.homes(3).back();
  Roster.onLeaving(First, Start);
  CHECK_FALSE(Roster.onHeard(First));
  CHECK(Roster.homes(3).back() != First);
  // One that did not leave after all is asked in the end.
  CHECK(Roster.takeProbes(Start + 21s) == std::vector{First});
  CHECK(Roster.onHeard(First));
  CHECK(Roster.homes(3).back() == First);
}

TEST_CASE("a record of an earlier run does not replace the own entry") {
  HostRoster Roster = makeRoster(0, 3, 3);
  RosterHost Old = Roster.self();
  Old.Run = 1;
  Old.Address = "10.9.9.9:1";
  Roster.replaceAll({Old});
  CHECK(Roster.hosts() == 1);
  CHECK(*Roster.find(Old.id()) == Roster.self());
  Roster.remove(Old.Name);
  CHECK(Roster.hosts() == 1);
}

TEST_CASE("a host that stops is home of nothing") {
  HostRoster Roster = makeRoster(0, 1, 1);
  CHECK(Roster.isHome(0));
  Roster.beginStop();
  CHECK_FALSE(Roster.isHome(0));
  CHECK(Roster.homes(0).empty());
}
