#include "LibOutcome/PoisonRegistry.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr Hash128 Bad{1, 1};
constexpr Hash128 Good{2, 2};
constexpr Hash128 Other{3, 3};
constexpr TimePoint Noon{1h};

TargetId target(std::uint64_t Number) { return TargetId{Number}; }

/// Simulates a crash of \p Target while it runs \p Contents.
void crash(PoisonRegistry &Host, const std::vector<Hash128> &Contents,
           std::uint64_t Target, std::uint64_t Id, TimePoint Now) {
  for (Hash128 Content : Contents)
    Host.started(Content, target(Target));
  for (Hash128 Content : Contents) {
    auto Report = Host.crashed(Content, target(Target), {0, Id}, Now);
    CHECK(Report.has_value() == (Content == Contents.front()));
  }
}

CrashReport reportOf(std::uint64_t Id, std::uint64_t Target,
                     std::vector<Hash128> Contents) {
  return {{0, Id}, HostId{9}, target(Target), std::move(Contents)};
}

} // namespace

TEST_CASE("a host quarantines a content after its second crash") {
  PoisonRegistry Host(HostId{1}, {});
  crash(Host, {Bad}, 1, 1, Noon);
  CHECK(Host.admit(Bad, Noon));
  crash(Host, {Bad}, 2, 2, Noon + 10s);
  CHECK(Host.admit(Bad, Noon + 10s).error() == OutcomeError::Quarantined);
  CHECK(Host.list(Noon + 10s).front().IsQuarantined);
  Host.lift(Bad);
  CHECK(Host.admit(Bad, Noon + 10s));
}

TEST_CASE(
    "every host quarantines a content after its third crash in the fleet") {
  PoisonRegistry Host(HostId{1}, {});
  for (std::uint64_t Crash = 1; Crash <= 3; ++Crash) {
    CHECK(Host.admit(Bad, Noon));
    // A duplicate report, received from a peer and then from the log, counts
    // once.
    Host.apply(reportOf(Crash, Crash, {Bad}), Noon + 10s * Crash);
    Host.apply(reportOf(Crash, Crash, {Bad}), Noon + 10s * Crash);
  }
  CHECK_FALSE(Host.admit(Bad, Noon + 40s));
  CHECK(Host.admit(Bad, Noon + 2h));
}

TEST_CASE(
    "suspects avoid each other's targets, and one that finishes is cleared") {
  PoisonRegistry Host(HostId{1}, {});
  crash(Host, {Bad, Good}, 1, 1, Noon);
  Host.started(Bad, target(2));
  CHECK(Host.targetsToAvoid(Good, Noon) == std::vector{target(2)});
  CHECK(Host.targetsToAvoid(Other, Noon).empty());
  Host.started(Good, target(3));
  CHECK(Host.cleared(Good));
  Host.ended(Good, target(3));
  CHECK(Host.crashed(Bad, target(2), {0, 2}, Noon + 1s));
  CHECK(Host.admit(Good, Noon + 1s));
  CHECK_FALSE(Host.admit(Bad, Noon + 1s));
}

TEST_CASE("crashes of a flaky target make no suspects") {
  PoisonRegistry Host(HostId{1}, {});
  crash(Host, {Other}, 1, 1, Noon);
  crash(Host, {Good}, 1, 2, Noon + 10s);
  crash(Host, {Bad}, 1, 3, Noon + 20s);
  CHECK(Host.list(Noon + 20s).size() == 1);
  CHECK(Host.admit(Good, Noon + 20s));
}

TEST_CASE("the loss of many targets at once makes no further suspects") {
  PoisonRegistry Host(HostId{1}, {});
  for (std::uint64_t Lost = 1; Lost <= 10; ++Lost)
    crash(Host, {Hash128{7, Lost}}, Lost, Lost, Noon);
  CHECK(Host.list(Noon).size() == 3);
  crash(Host, {Hash128{7, 1}}, 20, 20, Noon + 1s);
  CHECK(Host.admit(Hash128{7, 1}, Noon + 1s));
}

TEST_CASE("crash reports and lifts are read back from the log") {
  PoisonRegistry Host(HostId{1}, {});
  Incarnation Writer{HostId{9}, 1};
  auto Record = makeCrashRecord(Writer, reportOf(1, 1, {Bad}));
  CHECK(applySuspectRecord(Host, Record, Noon));
  CHECK(Host.list(Noon).size() == 1);
  Record.Body.pop_back();
  CHECK_FALSE(applySuspectRecord(Host, Record, Noon));
  auto Lift = makeSuspectRecord({0, 2}, Writer, SuspectRecordKind::Lifted, Bad);
  CHECK(applySuspectRecord(Host, Lift, Noon));
  CHECK(Host.list(Noon).empty());
}
