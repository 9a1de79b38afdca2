#include "LibVirtualFleet/VirtualFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// The stated time in which an accepted change is in force everywhere.
constexpr Duration InForceTarget = 8s;

std::string weight(int Value) {
  return R"({"team/parks": {"settings": {"weight": )" + std::to_string(Value) +
         "}}}";
}

std::uint32_t weightAt(VirtualFleet &Fleet, std::size_t Index) {
  return Fleet.node(Index).snapshot().teamNamed("parks")->Weight;
}

/// Starts all hosts and publishes a first change at host 0.
void begin(VirtualFleet &Fleet) {
  Fleet.startAll();
  REQUIRE(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{0}); },
                                   10s));
  REQUIRE(Fleet.publish(0, weight(1)).value().IsAccepted);
  REQUIRE(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{1}); },
                                   InForceTarget));
}

/// Runs for a while and tells whether no running host went back.
bool neverReverts(VirtualFleet &Fleet, Duration Span) {
  std::vector<Revision> Highest(Fleet.size());
  bool IsMonotonic = true;
  for (Duration Passed{}; Passed < Span; Passed += 100ms) {
    Fleet.Simulated.runFor(100ms);
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      if (!Fleet.isRunning(Index) || !Fleet.node(Index).isReady())
        continue;
      Revision Present = Fleet.node(Index).fold().revision();
      IsMonotonic &= Present >= Highest[Index];
      Highest[Index] = Present;
    }
  }
  return IsMonotonic;
}

} // namespace

TEST_CASE("a change is in force everywhere although the network loses much") {
  for (std::uint64_t Seed : {1, 2, 3}) {
    VirtualFleet Fleet(9, Seed);
    Fleet.Link.Faults = {1ms, 5ms, 0.1, 0.1};
    begin(Fleet);
    REQUIRE(Fleet.publish(4, weight(2)).value().IsAccepted);
    CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{2}); },
                                   InForceTarget));
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
      CHECK(weightAt(Fleet, Index) == 2);
      CHECK(Fleet.node(Index).spread().divergences() == 0);
    }
  }
}

TEST_CASE("a change spreads although the log is lost right after it") {
  VirtualFleet Fleet(9, 4);
  Fleet.Link.Faults.Loss = 0.1;
  begin(Fleet);
  REQUIRE(Fleet.publish(2, weight(2)).value().IsAccepted);
  Fleet.Log.Faults.IsDown = true;
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{2}); },
                                 InForceTarget));
}

TEST_CASE("a burst of 200 changes in two seconds is in force in time") {
  VirtualFleet Fleet(5, 5);
  begin(Fleet);
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
                                 InForceTarget));
  Fleet.Simulated.runFor(10s);
  CHECK(Accepted == 200);
}

TEST_CASE("racing operators get one acceptance and one conflict, everywhere") {
  VirtualFleet Fleet(3, 6);
  begin(Fleet);
  std::vector<ConfigVerdict> Verdicts;
  for (std::size_t Host : {0, 1})
    Fleet.Simulated.hooks().Spawn([&Fleet, &Verdicts, Host] {
      ConfigChange Change;
      Change.Id = {88, Host};
      Change.Base = Revision{1};
      Change.Edits = parseEdits(weight(10 + static_cast<int>(Host))).value();
      Verdicts.push_back(
          Fleet.node(Host).publish(Change, Fleet.Simulated.now() + 8s).value());
    });
  Fleet.Simulated.runFor(10s);
  REQUIRE(Verdicts.size() == 2);
  CHECK(Verdicts[0].IsAccepted != Verdicts[1].IsAccepted);
  const auto &Refused = Verdicts[0].IsAccepted ? Verdicts[1] : Verdicts[0];
  CHECK(Refused.Problem->Error == ConfigError::Conflict);
  for (std::size_t Index = 1; Index < Fleet.size(); ++Index)
    CHECK(weightAt(Fleet, Index) == weightAt(Fleet, 0));
}

TEST_CASE("a change whose append loses its answers is applied once") {
  VirtualFleet Fleet(3, 7);
  begin(Fleet);
  Fleet.Log.Faults.LoseBeforeEffect = 0.3;
  Fleet.Log.Faults.LoseAfterEffect = 0.5;
  for (std::uint64_t Value = 2; Value <= 20; ++Value) {
    // The next publisher is another host, which must know the change before it
    // can name it as its base.
    auto Verdict = Fleet.publish(Value % 3, weight(Value), 60s);
    CHECK(Verdict.value().IsAccepted);
    REQUIRE(Fleet.Simulated.runUntil(
        [&] { return Fleet.isInForce(Revision{Value}); }, InForceTarget));
  }
  Fleet.Simulated.runFor(10s);
  CHECK(Fleet.node(0).fold().revision() == Revision{20});
  CHECK(Fleet.isInForce(Revision{20}));
}

TEST_CASE("an outage of the log makes a publisher say what is known") {
  VirtualFleet Fleet(3, 8);
  begin(Fleet);
  Fleet.Log.Faults.IsDown = true;
  CHECK(Fleet.publish(0, weight(2), 3s).error() == LogError::Unreachable);
  Fleet.Log.Faults.IsDown = false;
  Fleet.Log.Faults.LoseAfterEffect = 1;
  // The append takes effect, its answer is lost, and reading settles it.
  CHECK(Fleet.publish(0, weight(3), 3s).value().IsAccepted);
}

TEST_CASE("a host that starts while the log is down takes the newest state") {
  VirtualFleet Fleet(5, 9);
  begin(Fleet);
  REQUIRE(Fleet.publish(1, weight(2)).value().IsAccepted);
  REQUIRE(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{2}); },
                                   InForceTarget));
  Fleet.Log.Faults.IsDown = true;
  Fleet.startHost(3);
  CHECK_FALSE(Fleet.node(3).isReady());
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.node(3).isReady(); }, 30s));
  CHECK(Fleet.node(3).fold().revision() == Revision{2});
}

TEST_CASE("a host that reaches neither log nor peers never serves") {
  VirtualFleet Fleet(3, 10);
  begin(Fleet);
  Fleet.Log.Faults.IsDown = true;
  Fleet.Link.partition({VirtualFleet::idOf(2)});
  Fleet.startHost(2);
  Fleet.Simulated.runFor(120s);
  CHECK_FALSE(Fleet.node(2).isReady());
  CHECK(Fleet.publish(2, weight(9)).error() == ConfigError::NotReady);
  Fleet.Link.heal();
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.node(2).isReady(); }, 60s));
  CHECK(Fleet.node(2).fold().revision() == Revision{1});
}

TEST_CASE("hosts that all start while the log is down wait for it") {
  VirtualFleet Fleet(3, 11);
  begin(Fleet);
  Fleet.Log.Faults.IsDown = true;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.startHost(Index);
  Fleet.Simulated.runFor(60s);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK_FALSE(Fleet.node(Index).isReady());
  Fleet.Log.Faults.IsDown = false;
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{1}); },
                                 InForceTarget));
}

TEST_CASE("no host reverts over a partition with the log on one side") {
  VirtualFleet Fleet(6, 12);
  begin(Fleet);
  Fleet.Link.partition({VirtualFleet::idOf(0), VirtualFleet::idOf(1)});
  Fleet.CutFromLog = {0, 1};
  REQUIRE(Fleet.publish(3, weight(2)).value().IsAccepted);
  CHECK(neverReverts(Fleet, 60s));
  CHECK(weightAt(Fleet, 0) == 1);
  Fleet.startHost(4);
  CHECK(neverReverts(Fleet, 10s));
  Fleet.Link.heal();
  // The hosts have held each other for dead, and have to find each other.
  CHECK(neverReverts(Fleet, 30s));
  CHECK(weightAt(Fleet, 0) == 2);
  CHECK(weightAt(Fleet, 1) == 2);
}

TEST_CASE("retention passes and every host is replaced, and nothing reverts") {
  FleetNodeLimits Limits;
  Limits.SnapshotInterval = 20s;
  VirtualFleet Fleet(3, 13, Limits);
  begin(Fleet);
  for (int Value = 2; Value <= 10; ++Value)
    REQUIRE(Fleet.publish(0, weight(Value)).value().IsAccepted);
  Fleet.Simulated.runFor(200s);
  // One older state is written late, by a writer that was stopped.
  ConfigReplica Stale;
  StreamRecord First = recordOfChange(
      ConfigChange{
          {1, 1}, ConfigRules, {}, "x", {}, "", parseEdits(weight(1)).value()},
      {});
  Stale.offer({Offset{0}, encodeBatch({First})});
  ConfigSnapshotLog Late(makeMemoryLogHooks(Fleet.Log, Fleet.Simulated.hooks()),
                         Fleet.Simulated.hooks(), {HostId{99}, 1});
  REQUIRE(Late.save(Stale, 1s));
  Fleet.Log.truncate(ConfigStream, Offset{8});
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.killHost(Index);
  Fleet.startAll();
  CHECK(Fleet.Simulated.runUntil([&] { return Fleet.isInForce(Revision{10}); },
                                 30s));
  CHECK(weightAt(Fleet, 2) == 10);
}

TEST_CASE("a host below the retained range stays not ready without a state") {
  VirtualFleet Fleet(3, 14);
  begin(Fleet);
  REQUIRE(Fleet.publish(0, weight(2)).value().IsAccepted);
  Fleet.Log.truncate(ConfigStream, Offset{1});
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.killHost(Index);
  Fleet.startAll();
  Fleet.Simulated.runFor(60s);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    CHECK_FALSE(Fleet.node(Index).isReady());
}

TEST_CASE("a stale state or entry of a peer changes nothing") {
  VirtualFleet Fleet(3, 15);
  begin(Fleet);
  ConfigReplica Old;
  Old.offer(Fleet.Log.read(ConfigStream, {}, 1, Fleet.Simulated.now())
                .value()
                .Entries[0]);
  std::string Stale = Old.encodeState();
  REQUIRE(Fleet.publish(0, weight(2)).value().IsAccepted);
  ConfigReplica Present;
  auto Page = Fleet.Log.read(ConfigStream, {}, 9, Fleet.Simulated.now());
  for (const auto &Entry : Page.value().Entries)
    Present.offer(Entry);
  CHECK_FALSE(Present.restore(Stale).value());
  CHECK_FALSE(Present.restore("garbage"));
  CHECK(Present.offer({Offset{0}, "x"}) == OfferOutcome::AlreadyKnown);
  CHECK(Present.offer({Offset{9}, "x"}) == OfferOutcome::Gap);
  CHECK(Present.position().At == Revision{2});
}
