#include "LibVirtualFleet/VirtualFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// The specified time after which a leaving target gets no new requests.
constexpr Duration MaxLeavingPropagationTime = 3s;

const TargetId Engine = idOfName<TargetId>("engine-1");

void startAndSettle(VirtualFleet &Fleet) {
  Fleet.startAll();
  Fleet.Simulated.runFor(30s);
}

bool allKnowLeaving(VirtualFleet &Fleet) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    if (!Fleet.node(Index).members().isLeaving(Engine))
      return false;
  return true;
}

HostState stateAt(VirtualFleet &Fleet, std::size_t Index, std::size_t Subject) {
  return Fleet.node(Index)
      .members()
      .table()
      .find(VirtualFleet::idOf(Subject))
      .value()
      .State;
}

std::uint64_t runAt(VirtualFleet &Fleet, std::size_t Index,
                    std::size_t Subject) {
  return Fleet.node(Index)
      .members()
      .table()
      .find(VirtualFleet::idOf(Subject))
      .value()
      .Run;
}

/// Whether all other running hosts consider \p Subject dead.
bool allBelieveDead(VirtualFleet &Fleet, std::size_t Subject) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    if (Index != Subject && Fleet.isRunning(Index) &&
        stateAt(Fleet, Index, Subject) != HostState::Dead)
      return false;
  return true;
}

bool allBelieveAlive(VirtualFleet &Fleet) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    for (std::size_t Subject = 0; Subject < Fleet.size(); ++Subject)
      if (Index != Subject &&
          stateAt(Fleet, Index, Subject) != HostState::Alive)
        return false;
  return true;
}

} // namespace

TEST_CASE(
    "all hosts learn of a leaving target in time although the list lags") {
  for (std::uint64_t Seed : {1, 2, 3, 4}) {
    VirtualFleet Fleet(9, Seed);
    Fleet.Link.Faults = {1ms, 5ms, 0.1, 0.1};
    // The platform's list shows the target as live throughout.
    Fleet.List.Members.push_back({"engine-1",
                                  MemberRole::Engine,
                                  MemberState::Live,
                                  "0",
                                  "127.0.0.1",
                                  1,
                                  {},
                                  false});
    startAndSettle(Fleet);
    Fleet.node(Seed).members().noteLeaving(Engine);
    CHECK(Fleet.Simulated.runUntil([&] { return allKnowLeaving(Fleet); },
                                   MaxLeavingPropagationTime));
    Fleet.Simulated.runFor(30s);
    CHECK(allKnowLeaving(Fleet));
    for (const auto &Entry : Fleet.node(0).members().members())
      if (Entry.Name == "engine-1")
        CHECK(Entry.State == MemberState::Leaving);
  }
}

TEST_CASE("a notice expires after its lifetime and does not reappear") {
  FleetNodeLimits Limits;
  Limits.Members.NoticeLifetime = 60s;
  VirtualFleet Fleet(5, 5, Limits);
  startAndSettle(Fleet);
  Fleet.node(1).members().noteLeaving(Engine);
  Fleet.Simulated.runFor(30s);
  CHECK(allKnowLeaving(Fleet));
  Fleet.Simulated.runFor(40s);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK_FALSE(Fleet.node(Index).members().isLeaving(Engine));
}

TEST_CASE(
    "under packet loss, a dead host is detected and live hosts stay alive") {
  for (std::uint64_t Seed : {6, 7}) {
    VirtualFleet Fleet(9, Seed);
    Fleet.Link.Faults = {1ms, 5ms, 0.1, 0};
    startAndSettle(Fleet);
    CHECK(allBelieveAlive(Fleet));
    Fleet.killHost(4);
    CHECK(Fleet.Simulated.runUntil([&] { return allBelieveDead(Fleet, 4); },
                                   30s));
    for (std::size_t Subject = 0; Subject < Fleet.size(); ++Subject)
      if (Subject != 4 && Subject != 0)
        CHECK(stateAt(Fleet, 0, Subject) != HostState::Dead);
  }
}

TEST_CASE("a host with one broken link is still considered alive") {
  VirtualFleet Fleet(5, 8);
  startAndSettle(Fleet);
  Fleet.Link.cut(VirtualFleet::idOf(0), VirtualFleet::idOf(1), true);
  Fleet.Link.cut(VirtualFleet::idOf(1), VirtualFleet::idOf(0), true);
  Fleet.Simulated.runFor(60s);
  CHECK(stateAt(Fleet, 0, 1) != HostState::Dead);
  CHECK(stateAt(Fleet, 2, 1) == HostState::Alive);
}

TEST_CASE("the sides of a partition rejoin after it heals") {
  VirtualFleet Fleet(6, 9);
  startAndSettle(Fleet);
  Fleet.Link.partition({VirtualFleet::idOf(0), VirtualFleet::idOf(1)});
  CHECK(Fleet.Simulated.runUntil(
      [&] { return stateAt(Fleet, 0, 5) == HostState::Dead; }, 30s));
  Fleet.Simulated.runFor(300s);
  Fleet.Link.heal();
  CHECK(Fleet.Simulated.runUntil([&] { return allBelieveAlive(Fleet); }, 60s));
}

TEST_CASE("all hosts learn the new run of a restarted host, and none restores "
          "the old") {
  for (std::uint64_t Seed : {10, 11}) {
    VirtualFleet Fleet(5, Seed);
    startAndSettle(Fleet);
    std::uint64_t OldRun = Fleet.runOf(2);
    Fleet.startHost(2);
    std::uint64_t NewRun = Fleet.runOf(2);
    REQUIRE(OldRun != NewRun);
    Fleet.Simulated.runFor(20s);
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      if (Index != 2)
        CHECK(runAt(Fleet, Index, 2) == NewRun);
    CHECK(Fleet.Replaced.empty());
  }
}

TEST_CASE("a host that was paused and declared dead rejoins as the same run") {
  VirtualFleet Fleet(5, 12);
  startAndSettle(Fleet);
  Fleet.Link.pause(VirtualFleet::idOf(3));
  CHECK(
      Fleet.Simulated.runUntil([&] { return allBelieveDead(Fleet, 3); }, 30s));
  Fleet.Link.resume(VirtualFleet::idOf(3));
  CHECK(Fleet.Simulated.runUntil([&] { return allBelieveAlive(Fleet); }, 60s));
}

TEST_CASE("all hosts learn in time that a host is leaving") {
  VirtualFleet Fleet(5, 13);
  Fleet.Link.Faults.Loss = 0.1;
  startAndSettle(Fleet);
  Fleet.node(1).members().leave();
  auto AllKnow = [&] {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      if (Index != 1 && stateAt(Fleet, Index, 1) != HostState::Leaving)
        return false;
    return true;
  };
  CHECK(Fleet.Simulated.runUntil(AllKnow, MaxLeavingPropagationTime));
}
