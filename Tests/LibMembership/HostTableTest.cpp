#include "LibMembership/HostTable.h"
#include "LibMembership/PartialView.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

HostRumor rumor(std::uint64_t Host, std::uint64_t Run, std::uint64_t Counter,
                HostState State = HostState::Alive) {
  HostRumor Made;
  Made.Host = HostId{Host};
  Made.Run = Run;
  Made.Counter = Counter;
  Made.State = State;
  return Made;
}

HostTable tableOf(std::uint64_t Host, std::uint64_t Run,
                  std::uint64_t Started) {
  HostRumor Self = rumor(Host, Run, Started);
  Self.StartedMilliseconds = Started;
  return HostTable(Self, {});
}

} // namespace

TEST_CASE("a statement about an earlier run never holds for a later one") {
  HostTable Table = tableOf(1, 1, 100);
  CHECK(Table.apply(rumor(2, 20, 5), Start) == RumorEffect::News);
  CHECK(Table.apply(rumor(2, 7, 6), Start) == RumorEffect::News);
  CHECK(Table.apply(rumor(2, 20, 5, HostState::Dead), Start) ==
        RumorEffect::None);
  CHECK(Table.find(HostId{2})->Run == 7);
  CHECK(Table.isUsable(HostId{2}));
}

TEST_CASE("a suspected host has its time to show that it lives") {
  HostTable Table = tableOf(1, 1, 100);
  Table.apply(rumor(2, 20, 5), Start);
  CHECK(Table.suspect(HostId{2}, Start)->State == HostState::Suspect);
  CHECK(Table.expire(Start + 1s).empty());
  Table.heard({HostId{2}, 20}, Start + 1s);
  CHECK(Table.expire(Start + 3s).empty());
  CHECK(Table.find(HostId{2})->State == HostState::Alive);

  Table.suspect(HostId{2}, Start + 4s);
  // An earlier run that is heard is no sign of life of this one.
  Table.heard({HostId{2}, 19}, Start + 5s);
  CHECK(Table.expire(Start + 7s).size() == 1);
  CHECK(Table.find(HostId{2})->State == HostState::Dead);
}

TEST_CASE("a host states the contrary of what is wrong about it") {
  HostTable Table = tableOf(1, 1, 100);
  CHECK(Table.apply(rumor(1, 1, 100, HostState::Dead), Start) ==
        RumorEffect::Refuted);
  CHECK(Table.self().Counter == 101);
  CHECK(Table.apply(rumor(1, 1, 100, HostState::Suspect), Start) ==
        RumorEffect::None);
}

TEST_CASE("of two runs that meet, the earlier one gives way") {
  HostTable Earlier = tableOf(1, 50, 100);
  HostTable Later = tableOf(1, 40, 200);
  CHECK(Earlier.apply(Later.self(), Start) == RumorEffect::Replaced);
  CHECK(Later.apply(Earlier.self(), Start) == RumorEffect::Refuted);
  CHECK(Later.self().ReplacedRun == 50);

  // A later run whose clock is behind gets above the earlier one by the rumors
  // about it, as long as it heard of it first.
  HostTable Behind = tableOf(1, 60, 150);
  CHECK(Behind.apply(rumor(1, 50, 300), Start) == RumorEffect::Refuted);
  CHECK(Behind.self().Counter == 301);
  CHECK(Earlier.apply(Behind.self(), Start) == RumorEffect::Replaced);
}

TEST_CASE("a dead host is forgotten, and no rumor brings it back") {
  HostTable Table = tableOf(1, 1, 100);
  Table.apply(rumor(2, 20, 5), Start);
  Table.apply(rumor(2, 20, 5, HostState::Dead), Start);
  Table.expire(Start + 1h);
  CHECK_FALSE(Table.find(HostId{2}));
  CHECK(Table.apply(rumor(2, 20, 5, HostState::Dead), Start + 1h) ==
        RumorEffect::None);
  CHECK_FALSE(Table.find(HostId{2}));
}

TEST_CASE("a view is bounded, crosses domains and connects everyone") {
  constexpr std::uint64_t Hosts = 1200;
  constexpr std::uint64_t Domains = 7;
  std::vector<HostRumor> All;
  for (std::uint64_t Host = 0; Host < Hosts; ++Host) {
    All.push_back(rumor(Host, 1, 1));
    All.back().Domain = FailureDomainId{Host % Domains};
  }
  PartialViewLimits Limits;
  std::size_t Bound = Limits.RingPeers + Limits.RandomPeers +
                      Limits.PeersPerOtherDomain * (Domains - 1);
  std::vector<std::vector<HostId>> Views;
  std::vector<std::size_t> Watchers(Hosts);
  for (std::uint64_t Self = 0; Self < Hosts; ++Self) {
    auto Others = All;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Self));
    Views.push_back(chooseView(HostId{Self}, FailureDomainId{Self % Domains},
                               Others, 3, Limits));
    CHECK(Views.back().size() <= Bound);
    for (HostId Peer : Views.back())
      ++Watchers[Peer.Value];
  }
  CHECK(*std::min_element(Watchers.begin(), Watchers.end()) >=
        Limits.RingPeers);
  std::set<std::uint64_t> Reached{0};
  std::vector<std::uint64_t> Waiting{0};
  while (!Waiting.empty()) {
    std::uint64_t Host = Waiting.back();
    Waiting.pop_back();
    for (HostId Peer : Views[Host])
      if (Reached.insert(Peer.Value).second)
        Waiting.push_back(Peer.Value);
  }
  CHECK(Reached.size() == Hosts);
}
