#include "LibMembership/HostTable.h"
#include "LibMembership/PartialView.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

HostRumor makeRumor(std::uint64_t Host, std::uint64_t Run,
                    std::uint64_t Counter, HostState State = HostState::Alive) {
  HostRumor Rumor;
  Rumor.Host = HostId{Host};
  Rumor.Run = Run;
  Rumor.Counter = Counter;
  Rumor.State = State;
  return Rumor;
}

HostTable makeTable(std::uint64_t Host, std::uint64_t Run,
                    std::uint64_t Started) {
  HostRumor Self = makeRumor(Host, Run, Started);
  Self.StartedMilliseconds = Started;
  return HostTable(Self, {});
}

} // namespace

TEST_CASE("a rumor about an earlier run does not apply to a later one") {
  HostTable Table = makeTable(1, 1, 100);
  CHECK(Table.apply(makeRumor(2, 20, 5), Start) == RumorEffect::News);
  CHECK(Table.apply(makeRumor(2, 7, 6), Start) == RumorEffect::News);
  CHECK(Table.apply(makeRumor(2, 20, 5, HostState::Dead), Start) ==
        RumorEffect::None);
  CHECK(Table.find(HostId{2})->Run == 7);
  CHECK(Table.isUsable(HostId{2}));
}

TEST_CASE(
    "a suspected host is declared dead unless it is heard before the timeout") {
  HostTable Table = makeTable(1, 1, 100);
  Table.apply(makeRumor(2, 20, 5), Start);
  CHECK(Table.suspect(HostId{2}, Start)->State == HostState::Suspect);
  CHECK(Table.expire(Start + 1s).empty());
  Table.markHeard({HostId{2}, 20}, Start + 1s);
  CHECK(Table.expire(Start + 3s).empty());
  CHECK(Table.find(HostId{2})->State == HostState::Alive);

  Table.suspect(HostId{2}, Start + 4s);
  // A message from an earlier run does not prove that this run is alive.
  Table.markHeard({HostId{2}, 19}, Start + 5s);
  CHECK(Table.expire(Start + 7s).size() == 1);
  CHECK(Table.find(HostId{2})->State == HostState::Dead);
}

TEST_CASE("a host refutes wrong rumors about itself") {
  HostTable Table = makeTable(1, 1, 100);
  CHECK(Table.apply(makeRumor(1, 1, 100, HostState::Dead), Start) ==
        RumorEffect::Refuted);
  CHECK(Table.self().Counter == 101);
  CHECK(Table.apply(makeRumor(1, 1, 100, HostState::Suspect), Start) ==
        RumorEffect::None);
}

TEST_CASE("of two runs of one host, the earlier one is replaced") {
  HostTable Earlier = makeTable(1, 50, 100);
  HostTable Later = makeTable(1, 40, 200);
  CHECK(Earlier.apply(Later.self(), Start) == RumorEffect::Replaced);
  CHECK(Later.apply(Earlier.self(), Start) == RumorEffect::Refuted);
  CHECK(Later.self().ReplacedRun == 50);

  // A later run whose clock is behind raises its counter above that of the
  // earlier run, provided that it receives a rumor about the earlier run first.
  HostTable ClockBehind = makeTable(1, 60, 150);
  CHECK(ClockBehind.apply(makeRumor(1, 50, 300), Start) ==
        RumorEffect::Refuted);
  CHECK(ClockBehind.self().Counter == 301);
  CHECK(Earlier.apply(ClockBehind.self(), Start) == RumorEffect::Replaced);
}

TEST_CASE(
    "a dead host is removed, and no rumor about its death adds it again") {
  HostTable Table = makeTable(1, 1, 100);
  Table.apply(makeRumor(2, 20, 5), Start);
  Table.apply(makeRumor(2, 20, 5, HostState::Dead), Start);
  Table.expire(Start + 1h);
  CHECK_FALSE(Table.find(HostId{2}));
  CHECK(Table.apply(makeRumor(2, 20, 5, HostState::Dead), Start + 1h) ==
        RumorEffect::None);
  CHECK_FALSE(Table.find(HostId{2}));
}

TEST_CASE("views are bounded, cross failure domains and connect all hosts") {
  constexpr std::uint64_t Hosts = 1200;
  constexpr std::uint64_t Domains = 7;
  std::vector<HostRumor> All;
  for (std::uint64_t Host = 0; Host < Hosts; ++Host) {
    All.push_back(makeRumor(Host, 1, 1));
    All.back().Domain = FailureDomainId{Host % Domains};
  }
  PartialViewLimits Limits;
  std::size_t Bound = Limits.RingPeers + Limits.RandomPeers +
                      Limits.PeersPerOtherDomain * (Domains - 1);
  std::vector<std::vector<HostId>> Views;
  std::vector<std::size_t> InDegrees(Hosts);
  for (std::uint64_t Self = 0; Self < Hosts; ++Self) {
    auto Others = All;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Self));
    Views.push_back(chooseView(HostId{Self}, FailureDomainId{Self % Domains},
                               Others, 3, Limits));
    CHECK(Views.back().size() <= Bound);
    for (HostId Peer : Views.back())
      ++InDegrees[Peer.Value];
  }
  CHECK(*std::min_element(InDegrees.begin(), InDegrees.end()) >=
        Limits.RingPeers);
  std::set<std::uint64_t> Reached{0};
  std::vector<std::uint64_t> Queue{0};
  while (!Queue.empty()) {
    std::uint64_t Host = Queue.back();
    Queue.pop_back();
    for (HostId Peer : Views[Host])
      if (Reached.insert(Peer.Value).second)
        Queue.push_back(Peer.Value);
  }
  CHECK(Reached.size() == Hosts);
}
