#include "LibVirtualFleet/VirtualFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// The specified time within which an accepted change is in force on all hosts.
constexpr Duration MaxPropagationTime = 8s;

std::string weightEdits(int Value) {
  return R"({"team/parks": {"settings": {"weight": )" + std::to_string(Value) +
         "}}}";
}

std::uint32_t weightAt(VirtualFleet &Fleet, std::size_t Index) {
  return Fleet.node(Index).snapshot().teamNamed("parks")->Weight;
}

/// Starts all hosts and publishes a first change through host 0.
void startFleet(VirtualFleet &Fleet) {
  Fleet.startAll();
  REQUIRE(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{0}); },
                                   10s));
  REQUIRE(Fleet.publish(0, weightEdits(1)).value().IsAccepted);
  REQUIRE(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{1}); },
                                   MaxPropagationTime));
}

/// Runs the simulation for \p Period. \returns whether no ready host went back
/// to an earlier revision.
bool neverReverts(VirtualFleet &Fleet, Duration Period) {
  std::vector<Revision> Highest(Fleet.size());
  bool IsMonotonic = true;
  for (Duration Elapsed{}; Elapsed < Period; Elapsed += 100ms) {
    Fleet.Simulated.runFor(100ms);
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      if (!Fleet.isRunning(Index) || !Fleet.node(Index).isReady())
        continue;
      Revision Current = Fleet.node(Index).fold().revision();
      IsMonotonic &= Current >= Highest[Index];
      Highest[Index] = Current;
    }
  }
  return IsMonotonic;
}

} // namespace

TEST_CASE("a change is in force on all hosts in time despite packet loss") {
  for (std::uint64_t Seed : {1, 2, 3}) {
    VirtualFleet Fleet(9, Seed);
    Fleet.Link.Faults = {1ms, 5ms, 0.1, 0.1};
    startFleet(Fleet);
    REQUIRE(Fleet.publish(4, weightEdits(2)).value().IsAccepted);
    CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{2}); },
                                   MaxPropagationTime));
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      CHECK(weightAt(Fleet, Index) == 2);
      CHECK(Fleet.node(Index).gossip().divergences() == 0);
    }
  }
}

TEST_CASE("a change spreads although the log fails right after the append") {
  VirtualFleet Fleet(9, 4);
  Fleet.Link.Faults.Loss = 0.1;
  startFleet(Fleet);
  REQUIRE(Fleet.publish(2, weightEdits(2)).value().IsAccepted);
  Fleet.Log.Faults.IsDown = true;
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{2}); },
                                 MaxPropagationTime));
}

TEST_CASE("a burst of 200 changes in two seconds is in force in time") {
  VirtualFleet Fleet(5, 5);
  startFleet(Fleet);
  int Accepted = 0;
  for (int Count = 0; Count < 200; ++Count) {
    ConfigChange Change;
    Change.Id = {77, static_cast<std::uint64_t>(Count)};
    Change.Base = Revision{1};
    Change.Edits =
        parseEdits(R"({"team/t)" + std::to_string(Count) + R"(": {}})").value();
    std::size_t Host = Count % Fleet.size();
    Fleet.Simulated.hooks().Spawn([&Fleet, &Accepted, Change, Host] {
      auto Verdict =
          Fleet.node(Host).publish(Change, Fleet.Simulated.now() + 8s);
      Accepted += Verdict && Verdict.value().IsAccepted;
    });
    Fleet.Simulated.runFor(10ms);
  }
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{201}); },
                                 MaxPropagationTime));
  Fleet.Simulated.runFor(10s);
  CHECK(Accepted == 200);
}

TEST_CASE(
    "of two concurrent changes, all hosts accept one and refuse the other") {
  VirtualFleet Fleet(3, 6);
  startFleet(Fleet);
  std::vector<ConfigVerdict> Verdicts;
  for (std::size_t Host : {0, 1})
    Fleet.Simulated.hooks().Spawn([&Fleet, &Verdicts, Host] {
      ConfigChange Change;
      Change.Id = {88, Host};
      Change.Base = Revision{1};
      Change.Edits =
          parseEdits(weightEdits(10 + static_cast<int>(Host))).value();
      Verdicts.push_back(
          Fleet.node(Host).publish(Change, Fleet.Simulated.now() + 8s).value());
    });
  Fleet.Simulated.runFor(10s);
  REQUIRE(Verdicts.size() == 2);
  CHECK(Verdicts[0].IsAccepted != Verdicts[1].IsAccepted);
  const auto &Rejected = Verdicts[0].IsAccepted ? Verdicts[1] : Verdicts[0];
  CHECK(Rejected.Problem->Error == ConfigError::Conflict);
  for (std::size_t Index = 1; Index < Fleet.size(); ++Index)
    CHECK(weightAt(Fleet, Index) == weightAt(Fleet, 0));
}

TEST_CASE(
    "a change is applied once although the answers to its append are lost") {
  VirtualFleet Fleet(3, 7);
  startFleet(Fleet);
  Fleet.Log.Faults.LoseBeforeEffect = 0.3;
  Fleet.Log.Faults.LoseAfterEffect = 0.5;
  for (std::uint64_t Value = 2; Value <= 20; ++Value) {
    // The next change is published through another host, which must have this
    // change before it can use it as the base revision.
    auto Verdict = Fleet.publish(Value % 3, weightEdits(Value), 60s);
    CHECK(Verdict.value().IsAccepted);
    REQUIRE(Fleet.Simulated.runUntil(
        [&] { return Fleet.isInForce(Revision{Value}); }, MaxPropagationTime));
  }
  Fleet.Simulated.runFor(10s);
  CHECK(Fleet.node(0).fold().revision() == Revision{20});
  CHECK(Fleet.isInForce(Revision{20}));
}

TEST_CASE("publishing during an outage of the log returns the actual outcome") {
  VirtualFleet Fleet(3, 8);
  startFleet(Fleet);
  Fleet.Log.Faults.IsDown = true;
  CHECK(Fleet.publish(0, weightEdits(2), 3s).error() == LogError::Unreachable);
  Fleet.Log.Faults.IsDown = false;
  Fleet.Log.Faults.LoseAfterEffect = 1;
  // The append takes effect but its answer is lost. Reading the log back
  // determines the verdict.
  CHECK(Fleet.publish(0, weightEdits(3), 3s).value().IsAccepted);
}

TEST_CASE("a host that starts while the log is down gets the latest state from "
          "peers") {
  VirtualFleet Fleet(5, 9);
  startFleet(Fleet);
  REQUIRE(Fleet.publish(1, weightEdits(2)).value().IsAccepted);
  REQUIRE(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{2}); },
                                   MaxPropagationTime));
  Fleet.Log.Faults.IsDown = true;
  Fleet.startHost(3);
  CHECK_FALSE(Fleet.node(3).isReady());
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.node(3).isReady(); }, 30s));
  CHECK(Fleet.node(3).fold().revision() == Revision{2});
}

TEST_CASE(
    "a host that reaches neither the log nor its peers does not become ready") {
  VirtualFleet Fleet(3, 10);
  startFleet(Fleet);
  Fleet.Log.Faults.IsDown = true;
  Fleet.Link.partition({VirtualFleet::idOf(2)});
  Fleet.startHost(2);
  Fleet.Simulated.runFor(120s);
  CHECK_FALSE(Fleet.node(2).isReady());
  CHECK(Fleet.publish(2, weightEdits(9)).error() == ConfigError::NotReady);
  Fleet.Link.heal();
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.node(2).isReady(); }, 60s));
  CHECK(Fleet.node(2).fold().revision() == Revision{1});
}

TEST_CASE("hosts that all restart while the log is down become ready after it "
          "returns") {
  VirtualFleet Fleet(3, 11);
  startFleet(Fleet);
  Fleet.Log.Faults.IsDown = true;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.startHost(Index);
  Fleet.Simulated.runFor(60s);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK_FALSE(Fleet.node(Index).isReady());
  Fleet.Log.Faults.IsDown = false;
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{1}); },
                                 MaxPropagationTime));
}

TEST_CASE("no host reverts during a partition with the log on one side") {
  VirtualFleet Fleet(6, 12);
  startFleet(Fleet);
  Fleet.Link.partition({VirtualFleet::idOf(0), VirtualFleet::idOf(1)});
  Fleet.CutFromLog = {0, 1};
  REQUIRE(Fleet.publish(3, weightEdits(2)).value().IsAccepted);
  CHECK(neverReverts(Fleet, 60s));
  CHECK(weightAt(Fleet, 0) == 1);
  Fleet.startHost(4);
  CHECK(neverReverts(Fleet, 10s));
  Fleet.Link.heal();
  // The two sides have declared each other dead and must rejoin.
  CHECK(neverReverts(Fleet, 30s));
  CHECK(weightAt(Fleet, 0) == 2);
  CHECK(weightAt(Fleet, 1) == 2);
}

TEST_CASE(
    "nothing reverts when all hosts restart after the log was truncated") {
  FleetNodeLimits Limits;
  Limits.SnapshotInterval = 20s;
  VirtualFleet Fleet(3, 13, Limits);
  startFleet(Fleet);
  for (int Value = 2; Value <= 10; ++Value)
    REQUIRE(Fleet.publish(0, weightEdits(Value)).value().IsAccepted);
  Fleet.Simulated.runFor(200s);
  // A writer that was suspended for long appends an outdated snapshot.
  ConfigReplica StaleReplica;
  StreamRecord FirstRecord =
      recordOfChange(ConfigChange{{1, 1},
                                  ConfigRules,
                                  {},
                                  "x",
                                  {},
                                  "",
                                  parseEdits(weightEdits(1)).value()},
                     {});
  StaleReplica.offer({Offset{0}, encodeBatch({FirstRecord})});
  ConfigSnapshotLog LateWriter(
      makeMemoryLogHooks(Fleet.Log, Fleet.Simulated.hooks()),
      Fleet.Simulated.hooks(), {HostId{99}, 1});
  REQUIRE(LateWriter.save(StaleReplica, 1s));
  Fleet.Log.truncate(ConfigStream, Offset{8});
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.killHost(Index);
  Fleet.startAll();
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{10}); },
                                 30s));
  CHECK(weightAt(Fleet, 2) == 10);
}

TEST_CASE(
    "a host without a snapshot does not become ready on a truncated log") {
  VirtualFleet Fleet(3, 14);
  startFleet(Fleet);
  REQUIRE(Fleet.publish(0, weightEdits(2)).value().IsAccepted);
  Fleet.Log.truncate(ConfigStream, Offset{1});
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.killHost(Index);
  Fleet.startAll();
  Fleet.Simulated.runFor(60s);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK_FALSE(Fleet.node(Index).isReady());
}

TEST_CASE("a stale snapshot or entry from a peer has no effect") {
  VirtualFleet Fleet(3, 15);
  startFleet(Fleet);
  ConfigReplica OldReplica;
  OldReplica.offer(Fleet.Log.read(ConfigStream, {}, 1, Fleet.Simulated.now())
                       .value()
                       .Entries[0]);
  std::string StaleState = OldReplica.encodeState();
  REQUIRE(Fleet.publish(0, weightEdits(2)).value().IsAccepted);
  ConfigReplica Current;
  auto Page = Fleet.Log.read(ConfigStream, {}, 9, Fleet.Simulated.now());
  for (const auto &Entry : Page.value().Entries)
    Current.offer(Entry);
  CHECK_FALSE(Current.restore(StaleState).value());
  CHECK_FALSE(Current.restore("garbage"));
  CHECK(Current.offer({Offset{0}, "x"}) == OfferOutcome::AlreadyKnown);
  CHECK(Current.offer({Offset{9}, "x"}) == OfferOutcome::Gap);
  CHECK(Current.position().At == Revision{2});
}
