#include "LibVirtualFleet/VirtualFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// The stated time after which a leaving target gets no new work.
constexpr Duration LeavingTarget = 3s;

const TargetId Engine = idOfName<TargetId>("engine-1");

void settle(VirtualFleet &Fleet) {
  Fleet.startAll();
  Fleet.Simulated.runFor(30s);
}

bool allKnowLeaving(VirtualFleet &Fleet) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    if (!Fleet.node(Index).members().isLeaving(Engine))
      return false;
  return true;
}

HostState stateAt(VirtualFleet &Fleet, std::size_t Index, std::size_t Of) {
  return Fleet.node(Index)
      .members()
      .table()
      .find(VirtualFleet::idOf(Of))
      .value()
      .State;
}

std::uint64_t runAt(VirtualFleet &Fleet, std::size_t Index, std::size_t Of) {
  return Fleet.node(Index)
      .members()
      .table()
      .find(VirtualFleet::idOf(Of))
      .value()
      .Run;
}

/// Whether all running hosts hold \p Of for dead.
bool allBelieveDead(VirtualFleet &Fleet, std::size_t Of) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    if (Index != Of && Fleet.isRunning(Index) &&
        stateAt(Fleet, Index, Of) != HostState::Dead)
      return false;
  return true;
}

bool allBelieveAlive(VirtualFleet &Fleet) {
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    for (std::size_t Of = 0; Of < Fleet.size(); ++Of)
      if (Index != Of && stateAt(Fleet, Index, Of) != HostState::Alive)
        return false;
  return true;
}

} // namespace

TEST_CASE("a leaving target is known everywhere in time though the list lags") {
  for (std::uint64_t Seed : {1, 2, 3, 4}) {
    VirtualFleet Fleet(9, Seed);
    Fleet.Link.Faults = {1ms, 5ms, 0.1, 0.1};
    // The platform's list says live all along.
    Fleet.List.Members.push_back({"engine-1",
                                  MemberRole::Engine,
                                  MemberState::Live,
                                  "0",
                                  "127.0.0.1",
                                  1,
                                  {},
                                  false});
    settle(Fleet);
    Fleet.node(Seed).members().noteLeaving(Engine);
    CHECK(Fleet.Simulated.runUntil([&] { return allKnowLeaving(Fleet); },
                                   LeavingTarget));
    Fleet.Simulated.runFor(30s);
    CHECK(allKnowLeaving(Fleet));
    for (const auto &Line : Fleet.node(0).members().members())
      if (Line.Name == "engine-1")
        CHECK(Line.State == MemberState::Leaving);
  }
}

TEST_CASE("a notice ends after its lifetime and does not come back") {
  FleetNodeLimits Limits;
  Limits.Members.NoticeLifetime = 60s;
  VirtualFleet Fleet(5, 5, Limits);
  settle(Fleet);
  Fleet.node(1).members().noteLeaving(Engine);
  Fleet.Simulated.runFor(30s);
  CHECK(allKnowLeaving(Fleet));
  Fleet.Simulated.runFor(40s);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK_FALSE(Fleet.node(Index).members().isLeaving(Engine));
}

TEST_CASE("a dead host is found and a live one is not, under loss") {
  for (std::uint64_t Seed : {6, 7}) {
    VirtualFleet Fleet(9, Seed);
    Fleet.Link.Faults = {1ms, 5ms, 0.1, 0};
    settle(Fleet);
    CHECK(allBelieveAlive(Fleet));
    Fleet.killHost(4);
    CHECK(Fleet.Simulated.runUntil([&] { return allBelieveDead(Fleet, 4); },
                                   30s));
    for (std::size_t Of = 0; Of < Fleet.size(); ++Of)
      if (Of != 4 && Of != 0)
        CHECK(stateAt(Fleet, 0, Of) != HostState::Dead);
  }
}

TEST_CASE("a host with one dead link is still held for alive") {
  VirtualFleet Fleet(5, 8);
  settle(Fleet);
  Fleet.Link.cut(VirtualFleet::idOf(0), VirtualFleet::idOf(1), true);
  Fleet.Link.cut(VirtualFleet::idOf(1), VirtualFleet::idOf(0), true);
  Fleet.Simulated.runFor(60s);
  CHECK(stateAt(Fleet, 0, 1) != HostState::Dead);
  CHECK(stateAt(Fleet, 2, 1) == HostState::Alive);
}

TEST_CASE("the sides of a partition find each other again") {
  VirtualFleet Fleet(6, 9);
  settle(Fleet);
  Fleet.Link.partition({VirtualFleet::idOf(0), VirtualFleet::idOf(1)});
  CHECK(Fleet.Simulated.runUntil(
      [&] { return stateAt(Fleet, 0, 5) == HostState::Dead; }, 30s));
  Fleet.Simulated.runFor(300s);
  Fleet.Link.heal();
  CHECK(Fleet.Simulated.runUntil([&] { return allBelieveAlive(Fleet); }, 60s));
}

TEST_CASE(
    "a restarted host is a new run everywhere, and the old one stays out") {
  for (std::uint64_t Seed : {10, 11}) {
    VirtualFleet Fleet(5, Seed);
    settle(Fleet);
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

TEST_CASE("a host that is stopped for long comes back as what it was") {
  VirtualFleet Fleet(5, 12);
  settle(Fleet);
  Fleet.Link.pause(VirtualFleet::idOf(3));
  CHECK(
      Fleet.Simulated.runUntil([&] { return allBelieveDead(Fleet, 3); }, 30s));
  Fleet.Link.resume(VirtualFleet::idOf(3));
  CHECK(Fleet.Simulated.runUntil([&] { return allBelieveAlive(Fleet); }, 60s));
}

TEST_CASE("a host that says it is leaving is known to be leaving") {
  VirtualFleet Fleet(5, 13);
  Fleet.Link.Faults.Loss = 0.1;
  settle(Fleet);
  Fleet.node(1).members().leave();
  auto AllKnow = [&] {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      if (Index != 1 && stateAt(Fleet, Index, 1) != HostState::Leaving)
        return false;
    return true;
  };
  CHECK(Fleet.Simulated.runUntil(AllKnow, LeavingTarget));
}
