#include "LibRelay/TargetPicker.h"
#include "LimitFleet.h"
#include "RelayFixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint ColdStart{1h};
constexpr const char *ColdService = "engines";

ListedTarget coldListing(const std::string &Id, std::int64_t StartedAt = 1) {
  ListedTarget Target;
  Target.Id = Id;
  Target.Service = ColdService;
  Target.StartedAt = StartedAt;
  return Target;
}

/// Two targets of a service that has cold ones.
struct ColdDirectory {
  ColdDirectory() {
    this->Targets.setColdRates({{ColdService, 14}});
    this->Targets.onListed(coldListing("a"), ColdStart);
    this->Targets.onListed(coldListing("b"), ColdStart);
  }

  bool report(const std::string &RunKey, Duration Left, std::uint64_t Sequence,
              TimePoint Now = ColdStart) {
    return this->Targets.onColdReport({RunKey, Left, Sequence}, Now);
  }

  bool isCold(const std::string &Id, TimePoint Now) {
    this->Targets.endColdPeriods(Now, Now);
    return this->Targets.isCold(*this->Targets.find(Id));
  }

  std::string pick(TimePoint Now) {
    TargetState *Chosen = this->Picker.pick(
        this->Targets, ColdService, {},
        [](const TargetState &) { return true; }, Now);
    return Chosen ? Chosen->Listed.Id : "";
  }

  TargetDirectory Targets;
  TargetPicker Picker{{}, "east", 1};
};

} // namespace

TEST_CASE("a cold period ends at its time; a newer entry extends or shortens "
          "it, and an older or repeated one does not") {
  ColdDirectory Two;
  CHECK(Two.report("a#1", 3s, 5));
  CHECK(Two.isCold("a", ColdStart + 2999ms));
  CHECK_FALSE(Two.report("a#1", 3s, 5, ColdStart + 2s));
  CHECK_FALSE(Two.report("a#1", 9s, 4, ColdStart + 2s));
  CHECK_FALSE(Two.isCold("a", ColdStart + 3s));
  CHECK(Two.report("a#1", 3s, 6, ColdStart + 4s));
  CHECK_FALSE(Two.report("a#1", 5s, 7, ColdStart + 5s));
  CHECK(Two.isCold("a", ColdStart + 9s));
  CHECK_FALSE(Two.report("a#1", 500ms, 8, ColdStart + 9s));
  CHECK_FALSE(Two.isCold("a", ColdStart + 9500ms));
  CHECK(Two.report("a#1", 3s, 9, ColdStart + 10s));
  CHECK_FALSE(Two.report("a#1", 0s, 10, ColdStart + 11s));
  CHECK_FALSE(Two.isCold("a", ColdStart + 11s));
}

TEST_CASE("a report on another run of a target has no effect, and a restart "
          "ends the cold period of the earlier run") {
  ColdDirectory Two;
  CHECK_FALSE(Two.report("a#2", 3s, 5));
  CHECK_FALSE(Two.report("x#1", 3s, 5));
  CHECK(Two.report("a#1", 3s, 50));
  Two.Targets.onListed(coldListing("a", 2), ColdStart);
  CHECK_FALSE(Two.isCold("a", ColdStart));
  CHECK(Two.report("a#2", 2s, 6));
  CHECK_FALSE(Two.report("a#1", 9s, 60));
  CHECK_FALSE(Two.isCold("a", ColdStart + 2s));
}

TEST_CASE("an older entry from a store that was restored from a copy does not "
          "end a cold period, and an entry without a number counts") {
  ColdDirectory Two;
  CHECK(Two.report("a#1", 3s, 50));
  Two.Targets.onListRestored();
  CHECK_FALSE(Two.report("a#1", 0s, 7));
  CHECK(Two.isCold("a", ColdStart + 2s));
  CHECK_FALSE(Two.report("a#1", 8s, 0));
  CHECK(Two.isCold("a", ColdStart + 7s));
}

TEST_CASE("a cold target gets no call while a warm one may get it, also one "
          "that failed or is full") {
  ColdDirectory Two;
  Two.report("a#1", 3s, 1);
  Two.Targets.onFailure("b", ColdStart);
  Two.Targets.onFull("b", ColdStart);
  for (int Call = 0; Call < 50; ++Call)
    CHECK(Two.pick(ColdStart) == "b");
  Two.Targets.onRemoved("b", ColdStart);
  CHECK(Two.pick(ColdStart) == "a");
}

TEST_CASE("the calls of a target that has become warm come back in portions, "
          "from the end of its cold period on") {
  ColdDirectory Two;
  Two.report("a#1", 3s, 1);
  TimePoint Seen = ColdStart + 3500ms;
  auto Warm = Two.Targets.endColdPeriods(Seen, Seen);
  REQUIRE(Warm.size() == 1);
  CHECK(Warm[0].Id == "a");
  CHECK(Two.Targets.find("a")->ReturnedAt == ColdStart + 3s);
  auto CallsTo = [&](TimePoint Now) {
    int Calls = 0;
    for (int Call = 0; Call < 200; ++Call)
      Calls += Two.pick(Now) == "a" ? 1 : 0;
    return Calls;
  };
  CHECK(CallsTo(Seen) < 50);
  CHECK(CallsTo(ColdStart + 8s) > 50);
}

TEST_CASE("a service without a rate for cold targets has none: nothing is "
          "refused, and nothing returns in portions") {
  ColdDirectory Two;
  Two.Targets.setColdRates({});
  CHECK_FALSE(Two.report("a#1", 3s, 1));
  CHECK_FALSE(Two.isCold("a", ColdStart));
  CHECK(Two.Targets.coldTargets() == 0);
  CHECK(Two.Targets.endColdPeriods(ColdStart + 3s, ColdStart + 3s).empty());
  CHECK_FALSE(Two.Targets.find("a")->ReturnedAt);
}

TEST_CASE("a host without a share sends nothing to a cold target: the call is "
          "refused at once as not run, and served by a warm target") {
  RelayFixture Relay;
  Relay.ColdPerSecond = 14;
  Relay.addTarget("a");
  Relay.configure();
  Relay.reportCold("a", 3s);
  TimePoint Before = Relay.Simulated.now();
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::TargetsCold);
  CHECK(Relay.Status == 503);
  REQUIRE(Relay.RetryAfter);
  CHECK(*Relay.RetryAfter > 0s);
  CHECK(*Relay.RetryAfter <= 3300ms);
  CHECK(Relay.Simulated.now() == Before);
  CHECK(Relay.SentCalls.empty());
  CHECK(Relay.serve(Relay.makeCall()).Reason == RelayReason::TargetsCold);
  CHECK(Relay.SentCalls.empty());
  Relay.addTarget("b");
  Relay.Responses = {{.Pieces = {{1ms, "id: 1\ndata: x\n\n"}}},
                     {.Pieces = {{1ms, "id: 1\ndata: x\n\n"}}}};
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Done);
  CHECK(Relay.SentCalls.back().Target == "b");
  Relay.removeTarget("b");
  Relay.Simulated.runFor(3s);
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Done);
  CHECK(Relay.SentCalls.back().Target == "a");
}

TEST_CASE("a target that becomes cold while it is connected to does not get "
          "the call without a permit") {
  RelayFixture Relay;
  Relay.ColdPerSecond = 14;
  Relay.addTarget("a");
  Relay.configure();
  Relay.WhileConnecting = [&Relay] { Relay.reportCold("a", 3s); };
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::TargetsCold);
  CHECK(Outcome.Sends == 0);
}

TEST_CASE("a call that is sent again after its target was lost does not go to "
          "a cold target without a permit") {
  RelayFixture Relay;
  Relay.ColdPerSecond = 14;
  Relay.Route.Kind = CallKind::Idempotent;
  Relay.addTarget("a");
  Relay.configure();
  ScriptedResponse Lost;
  Lost.ConnectionError = NetError::Reset;
  Relay.Responses = {Lost};
  Relay.BeforeSend = [&Relay](std::size_t Sent) {
    if (Sent > 0)
      return;
    Relay.addTarget("b");
    Relay.reportCold("b", 3s);
  };
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Relay.SentCalls.size() == 1);
  CHECK(Outcome.End == RelayEnd::Unknown);
}

namespace {

/// A host that has lost its only target, which answered it before, while the
/// list can't be read.
struct LostTarget {
  explicit LostTarget(double ColdPerSecond, bool IsListUnreachable = true) {
    this->Relay.ColdPerSecond = ColdPerSecond;
    this->Relay.addTarget("a");
    this->Relay.configure();
    CHECK(this->serve() == RelayReason::None);
    if (IsListUnreachable)
      this->Relay.Dispatcher.targets().onListUnreachable(
          this->Relay.Simulated.now());
    CHECK(this->serve() == RelayReason::None);
    CHECK(this->Relay.HealthRequests == 0);
    this->Relay.Responses = {{.IsUnreachable = true}};
    CHECK(this->Relay.serve(this->Relay.makeCall()).Reason ==
          RelayReason::TargetUnreachable);
    CHECK(this->Relay.HealthRequests == 0);
    this->Sent = this->Relay.SentCalls.size();
  }

  /// Serves a call that the target answers, if it gets it.
  RelayReason serve() {
    this->Relay.Responses = {{.Pieces = {{1ms, "id: 1\ndata: x\n\n"}}}};
    return this->Relay.serve(this->Relay.makeCall()).Reason;
  }

  std::size_t sent() const { return this->Relay.SentCalls.size() - this->Sent; }

  RelayFixture Relay;
  std::size_t Sent = 0;
};

} // namespace

TEST_CASE("a target that was lost while the list can't be read: one health "
          "request decides before the next call") {
  LostTarget Lost(14);
  SUBCASE("it is warm") {
    Lost.Relay.HealthResponse = 0ms;
    CHECK(Lost.serve() == RelayReason::None);
    CHECK(Lost.serve() == RelayReason::None);
    CHECK(Lost.sent() == 2);
  }
  SUBCASE("it is cold") {
    Lost.Relay.HealthResponse = 3s;
    CHECK(Lost.serve() == RelayReason::TargetsCold);
    CHECK(Lost.serve() == RelayReason::TargetsCold);
    CHECK(Lost.sent() == 0);
    Lost.Relay.Simulated.runFor(3s);
    CHECK(Lost.serve() == RelayReason::None);
  }
  CHECK(Lost.Relay.HealthRequests == 1);
}

TEST_CASE("a target that does not answer its health request gets no call, and "
          "no further request for a time") {
  LostTarget Lost(14);
  CHECK(Lost.serve() == RelayReason::TargetsCold);
  TimePoint Before = Lost.Relay.Simulated.now();
  for (int Call = 0; Call < 10; ++Call)
    CHECK(Lost.serve() == RelayReason::TargetsCold);
  CHECK(Lost.Relay.Simulated.now() == Before);
  CHECK(Lost.Relay.HealthRequests == 1);
  REQUIRE(Lost.Relay.RetryAfter);
  CHECK(*Lost.Relay.RetryAfter >= 500ms);
  Lost.Relay.Simulated.runFor(1s);
  Lost.Relay.HealthResponse = 0ms;
  CHECK(Lost.serve() == RelayReason::None);
  CHECK(Lost.Relay.HealthRequests == 2);
  CHECK(Lost.sent() == 1);
}

TEST_CASE("a target that has not answered this host yet is asked while the "
          "list can't be read") {
  RelayFixture Relay;
  Relay.ColdPerSecond = 14;
  Relay.addTarget("a");
  Relay.configure();
  Relay.Dispatcher.targets().onListUnreachable(Relay.Simulated.now());
  Relay.HealthResponse = 2s;
  CHECK(Relay.serve(Relay.makeCall()).Reason == RelayReason::TargetsCold);
  CHECK(Relay.HealthRequests == 1);
  CHECK(Relay.SentCalls.empty());
}

TEST_CASE("no health request is sent while the list can be read, nor for a "
          "service without cold targets") {
  bool HasColdTargets = false;
  SUBCASE("list can be read") { HasColdTargets = true; }
  SUBCASE("no cold targets") {}
  LostTarget Lost(HasColdTargets ? 14 : 0, !HasColdTargets);
  CHECK(Lost.serve() == RelayReason::None);
  CHECK(Lost.Relay.HealthRequests == 0);
}

TEST_CASE("a notice of a cold period that was learned from a health response "
          "extends what a host knows, and never shortens it") {
  ColdDirectory Two;
  auto Notice = [&Two](Duration Left) {
    return Two.Targets.onColdReport({"a#1", Left, 0, true}, ColdStart);
  };
  Two.report("a#1", 0s, 5);
  CHECK(Notice(3s));
  CHECK_FALSE(Notice(1s));
  CHECK_FALSE(Notice(0s));
  CHECK(Two.isCold("a", ColdStart + 2s));
  CHECK(Two.report("a#1", 1s, 5) == false);
  CHECK_FALSE(Two.report("a#1", 0s, 6, ColdStart + 2s));
  CHECK_FALSE(Two.isCold("a", ColdStart + 2s));
}

namespace {

/// What all hosts together may send to a cold target in one second.
std::size_t coldBound(double PerSecond) {
  return static_cast<std::size_t>(PerSecond * 1.5 + 5);
}

LimitFleetSettings coldFleet(int Hosts, double PerSecond) {
  LimitFleetSettings Settings;
  Settings.Hosts = Hosts;
  Settings.Targets = 1;
  Settings.ColdPerSecond = PerSecond;
  Settings.MaxConnectTime = 5ms;
  return Settings;
}

/// Cold periods of the only target, while hosts are killed, frozen, cut off and
/// restarted. \returns whether all of them kept the bound.
bool keepsColdBound(LimitFleetSettings Settings, std::uint64_t Seed) {
  LimitFleet Fleet(Settings, Seed);
  Random Rng(Seed);
  double Load = 6 * Settings.ColdPerSecond;
  for (int Period = 0; Period < 3; ++Period) {
    Fleet.load(Load, std::chrono::milliseconds(Rng.below(1000)));
    Fleet.setCold(0, std::chrono::milliseconds(3000 + Rng.below(4000)));
    for (int Step = 0; Step < 6; ++Step) {
      Fleet.load(Load, std::chrono::milliseconds(200 + Rng.below(800)));
      std::vector<int> Some;
      for (int Host = 0; Host < Fleet.hosts(); ++Host)
        if (Rng.chance(0.3))
          Some.push_back(Host);
      switch (Rng.below(7)) {
      case 0:
        Fleet.restart(Some);
        break;
      case 1:
        for (int Host : Some)
          Fleet.freeze(Host);
        break;
      case 2:
        for (int Host : Some)
          Fleet.setIsolated(Host, true);
        break;
      case 3:
        Fleet.split(static_cast<int>(
            Rng.below(static_cast<std::uint64_t>(Fleet.hosts()))));
        break;
      case 4:
      case 5: {
        // The hosts on one side of a partition restart at once, while those on
        // the other side use the leases that they have.
        int Below = 1 + static_cast<int>(Rng.below(
                            static_cast<std::uint64_t>(Fleet.hosts())));
        std::vector<int> Side;
        for (int Host = Below; Host < Fleet.hosts(); ++Host)
          Side.push_back(Host);
        Fleet.split(Below);
        Fleet.restart(Side);
        break;
      }
      default:
        Fleet.split(0);
        for (int Host = 0; Host < Fleet.hosts(); ++Host) {
          Fleet.thaw(Host);
          Fleet.setIsolated(Host, false);
        }
      }
    }
    for (int Host = 0; Host < Fleet.hosts(); ++Host)
      Fleet.thaw(Host);
  }
  return Fleet.mostInColdSecond(0) <= coldBound(Settings.ColdPerSecond);
}

constexpr int ColdFleetSizes[] = {1, 2, 9, 23, 79};

} // namespace

TEST_CASE("a cold target gets no more in any second than it bears, and is used "
          "while there is no other") {
  for (int Hosts : ColdFleetSizes) {
    CAPTURE(Hosts);
    LimitFleet Fleet(coldFleet(Hosts, 14), 1);
    Fleet.load(100, 2s);
    Fleet.setCold(0, 10s);
    TimePoint Begin = Fleet.now();
    Fleet.load(100, 10s);
    CHECK(Fleet.mostInColdSecond(0) <= coldBound(14));
    CHECK(Fleet.arrivals(0, Begin, Begin + 10s) >= 80);
    CHECK(Fleet.Results.RefusedWithoutRetryAfter == 0);
  }
}

TEST_CASE("hosts that have all just started send nothing to a cold target") {
  LimitFleet Fleet(coldFleet(23, 14), 2);
  std::vector<int> All;
  for (int Host = 0; Host < Fleet.hosts(); ++Host)
    All.push_back(Host);
  Fleet.setCold(0, 30s);
  Fleet.restart(All);
  TimePoint Begin = Fleet.now();
  Fleet.load(100, 2900ms);
  CHECK(Fleet.arrivals(0, Begin, Fleet.now()) == 0);
  Fleet.load(100, 10s);
  CHECK(Fleet.arrivals(0, Begin, Fleet.now()) > 40);
  CHECK(Fleet.mostInColdSecond(0) <= coldBound(14));
}

TEST_CASE("whatever hosts fail in a cold period, the target gets no more in "
          "any second than it bears") {
  for (double PerSecond : {14.0, 40.0})
    for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
      CAPTURE(Seed);
      CAPTURE(PerSecond);
      int Hosts = Seed <= 2 ? 79 : 1 + static_cast<int>(Seed * 37 % 30);
      CHECK(keepsColdBound(coldFleet(Hosts, PerSecond), Seed));
    }
}

TEST_CASE("schedules find a send without the last check, leases that overlap "
          "and a host that leases right after its start") {
  for (int Defect = 0; Defect < 3; ++Defect) {
    bool IsFound = false;
    for (std::uint64_t Seed = 1; Seed <= 40 && !IsFound; ++Seed) {
      LimitFleetSettings Settings =
          coldFleet(2 + static_cast<int>(Seed * 37 % 30), 40);
      Settings.SkipsLastCheck = Defect == 0;
      if (Defect == 0)
        Settings.MaxConnectTime = 600ms;
      Settings.HasShortLeases = Defect == 1;
      Settings.LeasesAfterStart = Defect == 2;
      IsFound = !keepsColdBound(Settings, Seed);
    }
    CAPTURE(Defect);
    CHECK(IsFound);
  }
}

TEST_CASE("permits that wait for slow connections are not used late") {
  LimitFleetSettings Settings = coldFleet(9, 40);
  Settings.MaxConnectTime = 600ms;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    CHECK(keepsColdBound(Settings, Seed));
}
