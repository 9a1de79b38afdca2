#include "LibRelay/FailureGate.h"
#include "RelayFixture.h"

#include <doctest/doctest.h>
#include <optional>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint GateTestStart{1h};

/// Makes \p Count calls that all fail after \p Wait.
void fail(FailureGate &Gate, int Count, std::int64_t Amount,
          Duration Wait = 0s) {
  for (int I = 0; I < Count; ++I)
    Gate.enter("team", Amount, GateTestStart).fail(GateTestStart + Wait);
}

bool isOpen(FailureGate &Gate, std::int64_t Amount, TimePoint Now) {
  auto Pass = Gate.enter("team", Amount, Now);
  return !Pass.isRefused() && !Pass.isProbe();
}

} // namespace

TEST_CASE("after three failures one call at a time is a probe, and the others "
          "are refused until one succeeds") {
  FailureGate Gate;
  fail(Gate, 3, 100);
  {
    auto Probe = Gate.enter("team", 100, GateTestStart);
    CHECK(Probe.isProbe());
    CHECK(Gate.enter("team", 100, GateTestStart).isRefused());
    CHECK_FALSE(Gate.enter("other", 100, GateTestStart).isRefused());
    Probe.fail(GateTestStart + 600ms);
    CHECK(Gate.enter("team", 100, GateTestStart + 600ms).isProbe());
  }
  auto Probe = Gate.enter("team", 100, GateTestStart + 700ms);
  CHECK(Probe.isProbe());
  Probe.succeed();
  CHECK(isOpen(Gate, 100, GateTestStart + 700ms));
}

// The refusal for unreachable targets took 2.5 to 3 s a call, longer than
// failures are remembered.
TEST_CASE("a probe that takes longer than failures count keeps the others "
          "refused, and is the only one") {
  FailureGate Gate;
  fail(Gate, 3, 0, 2400ms);
  TimePoint Now = GateTestStart + 2400ms;
  int Waited = 0;
  int Refused = 0;
  for (int Round = 0; Round < 10; ++Round) {
    auto Probe = Gate.enter("team", 0, Now);
    CHECK(Probe.isProbe());
    ++Waited;
    for (int I = 0; I < 240; ++I) {
      Now += 10ms;
      if (Gate.enter("team", 0, Now).isRefused())
        ++Refused;
      else
        ++Waited;
    }
    Probe.fail(Now);
  }
  CHECK(Waited == 10);
  CHECK(Refused == 2400);
}

TEST_CASE("calls that were let through earlier do not end a probe") {
  FailureGate Gate;
  auto Early = Gate.enter("team", 1, GateTestStart);
  auto Earlier = Gate.enter("team", 1, GateTestStart);
  fail(Gate, 3, 1);
  auto Probe = Gate.enter("team", 1, GateTestStart);
  CHECK(Probe.isProbe());
  Early.fail(GateTestStart + 100ms);
  CHECK(Gate.enter("team", 1, GateTestStart + 100ms).isRefused());
}

TEST_CASE("a success in between, or two quiet seconds, start the count anew") {
  FailureGate Gate;
  fail(Gate, 2, 1);
  Gate.enter("team", 1, GateTestStart).succeed();
  fail(Gate, 2, 1);
  CHECK(isOpen(Gate, 1, GateTestStart));
  Gate.enter("team", 1, GateTestStart + 3s).fail(GateTestStart + 3s);
  CHECK(isOpen(Gate, 1, GateTestStart + 3s));
  FailureGate Closed;
  fail(Closed, 3, 1);
  CHECK_FALSE(isOpen(Closed, 1, GateTestStart + 1900ms));
  CHECK(isOpen(Closed, 1, GateTestStart + 2s));
}

TEST_CASE("failures for a large amount do not count against a smaller one") {
  FailureGate Gate;
  fail(Gate, 3, 10'000);
  CHECK(isOpen(Gate, 500, GateTestStart));
  Gate.enter("team", 500, GateTestStart).succeed();
  auto Probe = Gate.enter("team", 10'000, GateTestStart);
  CHECK(Probe.isProbe());
  CHECK(Gate.enter("team", 12'000, GateTestStart).isRefused());
  // One failure of a smaller amount has to be confirmed.
  fail(Gate, 1, 500);
  CHECK_FALSE(Gate.enter("team", 500, GateTestStart).isRefused());
}

// Callers got the refusal "no target could be reached" after 2.5 to 3 s each,
// too late to retry at another host.
TEST_CASE("targets that can't be reached: a call beside the one that tries is "
          "refused immediately, and calls are served again once it connects") {
  RelayFixture Relay;
  Relay.addTarget("a");
  Relay.configure();
  for (int I = 0; I < 3; ++I) {
    Relay.Responses = {RelayFixture::makeUnreachable()};
    CHECK(Relay.serve(Relay.makeCall()).Reason ==
          RelayReason::TargetUnreachable);
  }
  std::optional<RelayOutcome> Beside;
  Relay.WhileConnecting = [&] {
    if (!Beside)
      Beside = Relay.Dispatcher.serve(Relay.makeCall(), Relay.makeCaller());
  };
  Relay.Responses = {RelayFixture::makeOneEvent()};
  RelayOutcome Tried = Relay.serve(Relay.makeCall());
  REQUIRE(Beside);
  CHECK(Beside->Reason == RelayReason::TargetUnreachable);
  CHECK(Beside->End == RelayEnd::NotRun);
  CHECK(Beside->Sends == 0);
  CHECK(Tried.End == RelayEnd::Done);
  Relay.Responses = {RelayFixture::makeOneEvent()};
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Done);
}
