#include "RelayFixture.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

ScriptedResponse makeStream(Duration FirstEventAfter = 1ms) {
  ScriptedResponse Response;
  Response.Pieces = {{FirstEventAfter, "id: 1\ndata: x\n\n"}};
  return Response;
}

ScriptedResponse makeFull() {
  ScriptedResponse Response;
  Response.Verdict = ResponseVerdict::NotRun;
  Response.Status = 503;
  return Response;
}

/// A relay whose service "engines" has reached its limit with calls that end
/// after a time.
class LimitedRelay : public RelayFixture {
public:
  explicit LimitedRelay(Duration BusyFor) {
    this->addTarget("a");
    this->configure();
    for (int I = 0; I < 4; ++I)
      this->Simulated.hooks().Spawn([this, BusyFor, I] {
        CallPlace Place(this->Dispatcher.admission(), "engines");
        CHECK(!Place.await(admissionRequestOf(this->makeCall(),
                                              this->Simulated.now(),
                                              this->Simulated.now() + 1s),
                           nullptr, [] { return false; }));
        this->Simulated.hooks().sleepUntil(this->Simulated.now() + 1ms);
        for (int J = 0; I == 0 && J < 8; ++J)
          Place.onTargetFull();
        this->Simulated.hooks().sleepUntil(this->Simulated.now() + BusyFor);
      });
    this->Simulated.runFor(2ms);
    REQUIRE(this->Dispatcher.admission().limit("engines"));
  }

  ~LimitedRelay() {
    this->Simulated.runFor(1min);
    CHECK(this->Dispatcher.admission().waiting("engines") == 0);
    CHECK(this->Dispatcher.admission().inProgress("engines") == 0);
  }
};

} // namespace

TEST_CASE("a call waits for a place and is served then") {
  LimitedRelay Relay(300ms);
  Relay.Responses = {makeStream()};
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Outcome.QueueWait >= 250ms);
  CHECK(Outcome.QueueWait <= 301ms);
}

// Callers were refused with "the deadline passed" after 0.9 s, too late to
// return elsewhere.
TEST_CASE("a call that can't start within its objective gets 503, not run, its "
          "own reason and a time to return") {
  LimitedRelay Relay(20s);
  Relay.Route.Objective = 600ms;
  Relay.configure();
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.Status == 503);
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::CannotStart);
  CHECK(Outcome.Sends == 0);
  CHECK(Outcome.Total <= 601ms);
  CHECK(Relay.Status == 503);
  CHECK(Relay.Body.find("not_run") != std::string::npos);
  REQUIRE(Relay.RetryAfter);
  CHECK(*Relay.RetryAfter >= 100ms);
  CHECK(*Relay.RetryAfter <= 7500ms);
  CHECK(Relay.SentCalls.empty());
}

TEST_CASE("a planned stop answers a call that waits, at once and as not run") {
  LimitedRelay Relay(20s);
  Relay.AnswersAt = Relay.Simulated.now() + 300ms;
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.Status == 503);
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::Stopping);
  CHECK(Outcome.Total <= 400ms);
  CHECK(Relay.SentCalls.empty());
  CHECK(Relay.Dispatcher.admission().waiting("engines") == 0);
}

TEST_CASE("a call that may not be repeated leaves the queue when it can no "
          "longer end before the stop") {
  LimitedRelay Relay(20s);
  Relay.BeforeSend = [](std::size_t) { FAIL("sent"); };
  Relay.Simulated.hooks().Spawn([&] {
    Relay.Simulated.hooks().sleepUntil(Relay.Simulated.now() + 200ms);
    Relay.LastEnd = Relay.Simulated.now() + 1s;
  });
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::Stopping);
  CHECK(Outcome.Total <= 300ms);
}

TEST_CASE("a caller that leaves while it waits is removed") {
  LimitedRelay Relay(20s);
  Relay.LeavesAt = Relay.Simulated.now() + 200ms;
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::CallerLeft);
  CHECK(Outcome.Total <= 300ms);
  CHECK(Relay.Dispatcher.admission().waiting("engines") == 0);
}

TEST_CASE("an evacuation answers a call that waits, at once and as not run") {
  LimitedRelay Relay(20s);
  Relay.removeTarget("a");
  Relay.TargetDomain = "north";
  Relay.addTarget("b");
  Relay.Simulated.hooks().Spawn([&] {
    Relay.Simulated.hooks().sleepUntil(Relay.Simulated.now() + 200ms);
    Relay.evacuate("north");
  });
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.Status == 503);
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::Evacuated);
  CHECK(Outcome.Total >= 200ms);
  CHECK(Outcome.Total <= 300ms);
  CHECK(Relay.SentCalls.empty());
}

// Guards against answers "full" that the limit does not learn of, and against a
// limit for targets that were replaced.
TEST_CASE("full targets limit the calls of their service, other answers that a "
          "call was not run do not") {
  auto LimitAfter = [](const ScriptedResponse &Response) {
    RelayFixture Relay;
    for (int I = 0; I < 20; ++I)
      Relay.addTarget("t" + std::to_string(I));
    Relay.configure();
    for (int I = 0; I < 20; ++I) {
      Relay.Responses.assign(4, Response);
      Relay.serve(Relay.makeCall());
    }
    CHECK(Relay.Dispatcher.admission().inProgress("engines") == 0);
    return Relay.Dispatcher.admission().limit("engines").has_value();
  };
  CHECK(LimitAfter(makeFull()));
  ScriptedResponse Replaced = makeFull();
  Replaced.Verdict = ResponseVerdict::WrongTarget;
  CHECK(!LimitAfter(Replaced));
  ScriptedResponse RateLimited = makeFull();
  RateLimited.RateLimit = 1000;
  CHECK(!LimitAfter(RateLimited));
}

TEST_CASE("first events after the objective of the route limit the calls of "
          "the service") {
  auto LimitAfter = [](Duration FirstEventAfter) {
    RelayFixture Relay;
    Relay.addTarget("a");
    Relay.Route.Objective = 100ms;
    Relay.configure();
    Relay.Responses.assign(10, makeStream(FirstEventAfter));
    int Done = 0;
    for (int I = 0; I < 10; ++I)
      Relay.Simulated.hooks().Spawn([&] {
        Relay.Dispatcher.serve(Relay.makeCall(), Relay.makeCaller());
        ++Done;
      });
    Relay.Simulated.runFor(5s);
    CHECK(Done == 10);
    return Relay.Dispatcher.admission().limit("engines").has_value();
  };
  CHECK(LimitAfter(200ms));
  CHECK(!LimitAfter(50ms));
}

// Guards against a place that stays taken, each of which would lower what the
// host serves for good.
TEST_CASE("a call frees its place on every path") {
  RelayFixture Relay;
  Relay.addTarget("a");
  Relay.configure();
  ScriptedResponse Unreachable;
  Unreachable.IsUnreachable = true;
  ScriptedResponse Unverified = makeFull();
  Unverified.Verdict = ResponseVerdict::Unverified;
  ScriptedResponse Failed;
  Failed.Status = 500;
  Failed.IsEventStream = false;
  ScriptedResponse Throwing;
  Throwing.ThrowsBadAlloc = true;
  ScriptedResponse Closed;
  Closed.ConnectionError = make_error_code(NetError::Closed);
  ScriptedResponse Stalling = makeStream();
  Stalling.Stalls = true;
  std::vector<ScriptedResponse> Endings = {
      makeStream(), makeFull(), Unreachable, Unverified,
      Failed,       Throwing,   Closed,      Stalling};
  for (const ScriptedResponse &Ending : Endings) {
    Relay.Responses.assign(4, Ending);
    Relay.serve(Relay.makeCall());
    CHECK(Relay.Dispatcher.admission().inProgress("engines") == 0);
    CHECK(Relay.Dispatcher.admission().waiting("engines") == 0);
    Relay.Simulated.runFor(30s);
  }
  Relay.FailsWrites = true;
  Relay.Responses.assign(4, makeFull());
  Relay.serve(Relay.makeCall());
  CHECK(Relay.Dispatcher.admission().inProgress("engines") == 0);
  Relay.Dispatcher.admission().exportMetrics(Relay.Simulated.now());
  CHECK(Relay.Dispatcher.admission().services() == 0);
}
