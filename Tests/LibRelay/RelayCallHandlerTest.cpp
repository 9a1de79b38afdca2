#include "RelayFixture.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

ScriptedResponse completeStream(int First, int Last) {
  ScriptedResponse Response;
  for (int Id = First; Id <= Last; ++Id)
    Response.Pieces.emplace_back(10ms, event(Id));
  return Response;
}

ScriptedResponse brokenStream(int First, int Last,
                              std::error_code With = NetError::Reset) {
  ScriptedResponse Response = completeStream(First, Last);
  Response.ConnectionError = With;
  return Response;
}

ScriptedResponse verdict(ResponseVerdict Verdict, unsigned Status = 503) {
  ScriptedResponse Response;
  Response.Verdict = Verdict;
  Response.Status = Status;
  return Response;
}

ScriptedResponse unreachable() {
  ScriptedResponse Response;
  Response.IsUnreachable = true;
  return Response;
}

/// A relay with three targets and enough requests for its budget to allow
/// resends.
struct Relay : RelayFixture {
  explicit Relay(const std::function<void(RelayHooks &)> &Adjust =
                     [](RelayHooks &) {})
      : RelayFixture(Adjust) {
    for (const char *Id : {"a", "b", "c"})
      this->addTarget(Id);
    this->configure();
    for (int I = 0; I < 40; ++I)
      this->Dispatcher.resends().onRequest("engines", this->Simulated.now());
  }

  /// Lets every target state a limit of which this host has no share, since it
  /// does not know the fleet.
  void limitAllTargets() {
    ScriptedResponse Limited = completeStream(1, 1);
    Limited.RateLimit = 2;
    this->Responses.assign(3, Limited);
    while (!this->Responses.empty())
      this->serve(this->makeCall());
    this->SentCalls.clear();
  }

  RelayOutcome runScript(std::vector<ScriptedResponse> Script) {
    this->Responses.assign(Script.begin(), Script.end());
    return this->serve(this->makeCall());
  }

  void setKind(CallKind Kind, bool IsResumable = false) {
    this->Route.Kind = Kind;
    this->Route.IsResumable = IsResumable;
    this->configure();
  }
};

} // namespace

TEST_CASE("a complete stream is relayed unchanged") {
  Relay Fixture;
  RelayOutcome Outcome = Fixture.runScript({completeStream(1, 5)});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Fixture.Status == 200);
  CHECK(Fixture.Body == event(1) + event(2) + event(3) + event(4) + event(5));
  CHECK(Fixture.IsEnded);
  CHECK(Outcome.Events == 5);
}

TEST_CASE("a resumable stream continues on another target without a gap") {
  Relay Fixture;
  Fixture.setKind(CallKind::Stream, true);
  ScriptedResponse First = brokenStream(1, 2);
  First.Pieces.emplace_back(10ms, "id: 3\nda"); // Ends inside an event.
  RelayOutcome Outcome = Fixture.runScript({First, completeStream(3, 4)});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Fixture.Body == event(1) + event(2) + event(3) + event(4));
  REQUIRE(Fixture.SentCalls.size() == 2);
  CHECK(Fixture.SentCalls[1].ResumeAfter == 2);
  CHECK(Fixture.SentCalls[0].Target != Fixture.SentCalls[1].Target);
  CHECK(Fixture.SentCalls[0].WasAborted);
}

TEST_CASE("a stream that ends with its connection inside an event does not "
          "pass for complete") {
  ScriptedResponse Cut = completeStream(1, 2);
  Cut.Pieces.emplace_back(10ms, "id: 3\nda");
  Cut.EndsWithConnection = true;
  for (bool IsResumable : {true, false}) {
    Relay Fixture;
    Fixture.setKind(CallKind::Stream, IsResumable);
    RelayOutcome Outcome = Fixture.runScript({Cut, completeStream(3, 4)});
    CHECK(Outcome.End == (IsResumable ? RelayEnd::Done : RelayEnd::Broken));
    CHECK(Fixture.Body == (IsResumable
                               ? event(1) + event(2) + event(3) + event(4)
                               : event(1) + event(2)));
    CHECK(Fixture.IsBroken == !IsResumable);
  }
  ScriptedResponse Whole = completeStream(1, 2);
  Whole.Pieces.emplace_back(10ms, "\n");
  Whole.EndsWithConnection = true;
  CHECK(Relay().runScript({Whole}).End == RelayEnd::Done);
}

TEST_CASE("a resumed stream with a gap or a repeated event is aborted") {
  for (int Next : {2, 4}) {
    Relay Fixture;
    Fixture.setKind(CallKind::Stream, true);
    RelayOutcome Outcome =
        Fixture.runScript({brokenStream(1, 2), completeStream(Next, 6)});
    CHECK(Outcome.End == RelayEnd::Broken);
    CHECK(Fixture.Body == event(1) + event(2));
    CHECK(Fixture.IsBroken);
    CHECK_FALSE(Fixture.IsEnded);
  }
}

TEST_CASE("an interrupted stream that may not be resumed ends as broken, not "
          "as complete") {
  Relay Fixture;
  RelayOutcome Outcome = Fixture.runScript({brokenStream(1, 2)});
  CHECK(Outcome.End == RelayEnd::Broken);
  CHECK(Fixture.IsBroken);
  CHECK_FALSE(Fixture.IsEnded);
  CHECK(Fixture.SentCalls.size() == 1);
}

TEST_CASE("a non-idempotent call that may have run is not sent again") {
  for (std::error_code With :
       {make_error_code(NetError::Reset), make_error_code(NetError::Closed),
        make_error_code(NetError::Malformed)}) {
    Relay Fixture;
    Fixture.setKind(CallKind::NonIdempotent);
    ScriptedResponse Lost;
    Lost.ConnectionError = With;
    RelayOutcome Outcome = Fixture.runScript({Lost, completeStream(1, 1)});
    CHECK(Outcome.End == RelayEnd::Unknown);
    CHECK(Fixture.Status == 502);
    CHECK(Fixture.SentCalls.size() == 1);
    CHECK_FALSE(Fixture.RetryAfter);
  }
}

TEST_CASE(
    "a call that a target did not run is sent to the next, whatever its kind") {
  Relay Fixture;
  Fixture.setKind(CallKind::NonIdempotent);
  RelayOutcome Outcome = Fixture.runScript(
      {verdict(ResponseVerdict::NotRun),
       verdict(ResponseVerdict::WrongTarget, 421), completeStream(1, 1)});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Outcome.Sends == 3);
}

TEST_CASE("a refusal is not-run only when no target may have run the call") {
  Relay Fixture;
  Fixture.Route.MaxTargets = 3;
  Fixture.setKind(CallKind::Idempotent);
  ScriptedResponse Lost;
  Lost.ConnectionError = NetError::Reset;
  RelayOutcome Outcome = Fixture.runScript(
      {Lost, verdict(ResponseVerdict::NotRun), unreachable()});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Fixture.Status == 502);
  Relay Second;
  Outcome = Second.runScript({unreachable(), unreachable(), unreachable()});
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Second.Status == 503);
  CHECK(Second.RetryAfter);
}

TEST_CASE("resends stop when their budget is exhausted") {
  RelayFixture Fixture;
  for (const char *Id : {"a", "b", "c", "d"})
    Fixture.addTarget(Id);
  Fixture.configure();
  Fixture.Responses = {
      verdict(ResponseVerdict::NotRun), verdict(ResponseVerdict::NotRun),
      verdict(ResponseVerdict::NotRun), verdict(ResponseVerdict::NotRun)};
  RelayOutcome Outcome = Fixture.serve(Fixture.makeCall());
  CHECK(Outcome.Sends == 3); // The first send, and the slack of two resends.
  CHECK(Fixture.Status == 503);
}

TEST_CASE("a success without proof is not relayed as a success") {
  Relay Fixture;
  RelayOutcome Outcome =
      Fixture.runScript({verdict(ResponseVerdict::Unverified, 200)});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Fixture.Status == 502);
}

TEST_CASE("a stale response to another call is discarded") {
  Relay Fixture;
  ScriptedResponse Response = completeStream(7, 9);
  Response.Verdict = ResponseVerdict::Stale;
  Response.NextPieces = completeStream(1, 2).Pieces;
  RelayOutcome Outcome = Fixture.runScript({Response});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Fixture.Body == event(1) + event(2));
  CHECK(Fixture.SentCalls.size() == 1);
}

TEST_CASE("an endless response without a valid answer is aborted before the "
          "deadline") {
  Relay Fixture;
  Fixture.setKind(CallKind::NonIdempotent);
  ScriptedResponse EndlessResponse;
  for (int I = 0; I < 400; ++I)
    EndlessResponse.Pieces.emplace_back(10ms, std::string(64 * 1024, 'x'));
  SUBCASE("in an event") {}
  SUBCASE("in the answer to another call") {
    EndlessResponse.Verdict = ResponseVerdict::Stale;
  }
  TimePoint Begin = Fixture.Simulated.now();
  RelayOutcome Outcome = Fixture.runScript({EndlessResponse});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Outcome.Reason == RelayReason::MalformedResponse);
  CHECK(Fixture.Status == 502);
  CHECK(Fixture.Body.size() < 1000);
  CHECK(Fixture.SentCalls[0].WasAborted);
  CHECK(Fixture.Simulated.now() - Begin < 2s);
}

TEST_CASE("the caller gets its final answer at the deadline") {
  SUBCASE("of the route, before any event") {
    Relay Fixture;
    Fixture.Route.Timeout = 2s;
    Fixture.configure();
    ScriptedResponse Slow = completeStream(1, 2);
    Slow.HeadAfter = 30s;
    TimePoint Begin = Fixture.Simulated.now();
    RelayOutcome Outcome = Fixture.runScript({Slow});
    CHECK(Outcome.End == RelayEnd::Unknown);
    CHECK(Fixture.Status == 504);
    CHECK(Fixture.Simulated.now() - Begin <= 2s);
    CHECK(Fixture.SentCalls[0].WasAborted);
  }
  SUBCASE("in the middle of a stream") {
    Relay Fixture;
    ScriptedResponse Stalled = completeStream(1, 2);
    Stalled.Stalls = true;
    RelayOutcome Outcome = Fixture.runScript({Stalled});
    CHECK(Outcome.End == RelayEnd::Broken);
    CHECK(Fixture.IsBroken);
    CHECK(Outcome.Total <= 5s);
  }
}

TEST_CASE("a target is told the remaining time") {
  Relay Fixture;
  Fixture.setKind(CallKind::Stream, true);
  ScriptedResponse First = brokenStream(1, 1);
  First.HeadAfter = 1s;
  Fixture.runScript({First, completeStream(2, 2)});
  REQUIRE(Fixture.SentCalls.size() == 2);
  CHECK(Fixture.SentCalls[0].TimeLeft == 5s);
  CHECK(Fixture.SentCalls[1].TimeLeft <= 4s);
}

TEST_CASE(
    "the exchange is aborted and not resent when the caller disconnects") {
  Relay Fixture;
  Fixture.setKind(CallKind::Stream, true);
  Fixture.LeavesAt = Fixture.Simulated.now() + 25ms;
  RelayOutcome Outcome =
      Fixture.runScript({completeStream(1, 50), completeStream(1, 50)});
  CHECK(Outcome.End == RelayEnd::CallerLeft);
  CHECK(Fixture.SentCalls.size() == 1);
  CHECK(Fixture.SentCalls[0].WasAborted);
}

// Guards against a list of hosts that has not been read counting as one with
// this host alone.
TEST_CASE("a host that does not know the others yet takes no turn to probe a "
          "quarantined request") {
  Relay Fixture;
  RequestQuarantine &Quarantine = Fixture.Dispatcher.quarantine();
  const RequestTraits Deadly = {hash128("deadly"), {}};
  TimePoint Now = Fixture.Simulated.now();
  for (const char *Target : {"a", "b", "c", "d", "e"}) {
    Quarantine.onLost(Deadly, Target, Now, Now + 100ms);
    Now += 1s;
    Quarantine.update(Now);
  }
  // Requests that come again keep their entry.
  for (int I = 0; I < 40; ++I) {
    Now += 10s;
    Quarantine.admit(Deadly, Now);
    Quarantine.update(Now);
  }
  CHECK(Quarantine.admission(Deadly, Now) == SendAdmission::Refused);
  Fixture.Wallets.roster().setSettled(Now);
  CHECK(Quarantine.admission(Deadly, Now) == SendAdmission::Probe);
}

TEST_CASE("a budget of an old configuration does not count as spent") {
  bool IsCurrent = true;
  Relay Fixture([&](RelayHooks &Hooks) {
    Hooks.IsConfigCurrent = [&] { return IsCurrent; };
  });
  Fixture.Team.Budget = 10'000;
  Fixture.setKind(CallKind::Stream, true);
  Fixture.beginTokens();
  RelayCall Call = Fixture.makeCall();
  Call.PromptTokens = 11'000;
  Fixture.serve(Call);
  CHECK(Fixture.Status == 402);
  IsCurrent = false;
  RelayOutcome Outcome = Fixture.serve(Call);
  CHECK(Fixture.Status == 503);
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::ConfigOld);
  Fixture.endTokens();
}

TEST_CASE("a budget that a later version took away does not count as spent") {
  Relay Fixture;
  Fixture.Team.Budget = 10'000;
  Fixture.setKind(CallKind::Stream, true);
  Fixture.beginTokens();
  RelayCall Call = Fixture.makeCall();
  Call.PromptTokens = 1'000;
  Fixture.Team.Budget.reset();
  Fixture.configure();
  RelayOutcome Outcome = Fixture.serve(Call);
  CHECK(Fixture.Status == 503);
  CHECK(Outcome.Reason == RelayReason::ConfigOld);
  CHECK(Fixture.SentCalls.empty());
  Fixture.endTokens();
}

TEST_CASE(
    "a team is charged for the prompt once and for the delivered events") {
  Relay Fixture;
  Fixture.Team.Budget = 10'000;
  Fixture.setKind(CallKind::Stream, true);
  Fixture.beginTokens();
  const Wallet &TeamWallet = Fixture.Wallets.walletOf("team")->wallet();
  Fixture.Responses = {brokenStream(1, 2), completeStream(3, 4)};
  RelayCall Call = Fixture.makeCall();
  Call.PromptTokens = 1000;
  Call.MaxOutputTokens = 100;
  RelayOutcome Outcome = Fixture.serve(Call);
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Outcome.TokensCharged == 1000 + 4 * 7);
  CHECK(TeamWallet.view("team").Spent == 1028);
  CHECK(TeamWallet.view("team").Reserved == 0);
  Fixture.Responses = {verdict(ResponseVerdict::NotRun), unreachable(),
                       unreachable(), unreachable()};
  Call = Fixture.makeCall();
  Call.PromptTokens = 1000;
  CHECK(Fixture.serve(Call).TokensCharged == 0);
  Call = Fixture.makeCall();
  Call.PromptTokens = 9'000;
  Fixture.serve(Call);
  CHECK(Fixture.Status == 402);
  Fixture.endTokens();
  CHECK(TeamWallet.view("team").Held == 1028);
}

TEST_CASE(
    "a target's failure response is relayed if no other attempt succeeds") {
  Relay Fixture;
  Fixture.setKind(CallKind::Idempotent);
  ScriptedResponse Failed;
  Failed.Status = 500;
  Failed.Pieces = {{1ms, "failed"}};
  RelayOutcome Outcome = Fixture.runScript({Failed, Failed});
  CHECK(Outcome.Sends == 2);
  CHECK(Fixture.Status == 500);
  CHECK(Fixture.Body == "failed");
  RelayOutcome Better = Fixture.runScript({Failed, completeStream(1, 1)});
  CHECK(Better.Sends == 2);
  CHECK(Fixture.Status == 200);
}

TEST_CASE("a configuration that is not newer is not activated") {
  Relay Fixture;
  auto Present = Fixture.Dispatcher.config();
  auto Older = std::make_shared<RelayConfig>();
  Older->Version = Present->Version;
  CHECK_FALSE(Fixture.Dispatcher.setConfig(Older));
  CHECK(Fixture.Dispatcher.config() == Present);
}

TEST_CASE(
    "a request that crashes targets is quarantined after the third loss") {
  Relay Fixture;
  Fixture.addTarget("d");
  Fixture.setKind(CallKind::Stream, true);
  Fixture.Route.MaxTargets = 4;
  Fixture.configure();
  RelayOutcome First =
      Fixture.runScript({brokenStream(1, 0), brokenStream(1, 0),
                         brokenStream(1, 0), brokenStream(1, 0)});
  CHECK(First.Sends == 3);
  CHECK(First.Reason == RelayReason::Quarantined);
  CHECK(First.End == RelayEnd::Unknown);

  RelayOutcome Again = Fixture.runScript({completeStream(1, 3)});
  CHECK(Again.Sends == 0);
  CHECK(Again.End == RelayEnd::NotRun);
  CHECK(Fixture.Status == 503);

  RelayCall Other = Fixture.makeCall();
  Other.Body += " ";
  Fixture.Responses = {completeStream(1, 3)};
  CHECK(Fixture.serve(Other).End == RelayEnd::Done);
}

TEST_CASE(
    "a target lost after its first event does not count against the request") {
  Relay Fixture;
  Fixture.setKind(CallKind::Stream, true);
  Fixture.Route.MaxTargets = 3;
  Fixture.configure();
  CHECK(Fixture
            .runScript(
                {brokenStream(1, 2), brokenStream(3, 4), brokenStream(5, 6)})
            .Sends == 3);
  CHECK(Fixture.Dispatcher.quarantine().size() == 0);
}

TEST_CASE(
    "a failure response that could not be delivered does not end as done") {
  Relay Fixture;
  Fixture.setKind(CallKind::NonIdempotent);
  ScriptedResponse Failed = completeStream(1, 1);
  Failed.Status = 500;
  Fixture.FailsWrites = true;
  CHECK(Fixture.runScript({Failed}).End == RelayEnd::CallerLeft);
}

TEST_CASE("a call goes to another target when the first is at its rate limit") {
  Relay Fixture;
  ScriptedResponse Limited = completeStream(1, 1);
  Limited.RateLimit = 2;
  Fixture.runScript({Limited});
  std::string AtLimit = Fixture.SentCalls[0].Target;
  for (int I = 0; I < 20; ++I)
    CHECK(Fixture.runScript({completeStream(1, 1)}).Status == 200);
  for (std::size_t I = 1; I < Fixture.SentCalls.size(); ++I)
    CHECK(Fixture.SentCalls[I].Target != AtLimit);
}

TEST_CASE("a call is refused at once when all targets are at their rate "
          "limits") {
  Relay Fixture;
  Fixture.limitAllTargets();
  RelayOutcome Outcome = Fixture.serve(Fixture.makeCall());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Outcome.Reason == RelayReason::RateLimited);
  CHECK(Outcome.Total == Duration::zero());
  CHECK(Fixture.Status == 503);
  CHECK(Fixture.RetryAfter > Duration::zero());
  CHECK(Fixture.SentCalls.empty());
}

TEST_CASE("callers that are refused for a rate limit return one after the "
          "other") {
  Relay Fixture;
  Fixture.limitAllTargets();
  Duration Last{};
  for (int I = 0; I < 10; ++I) {
    Fixture.serve(Fixture.makeCall());
    CHECK(Fixture.RetryAfter >= Last);
    Last = *Fixture.RetryAfter;
  }
  CHECK(Last >= 2s);
}

TEST_CASE("a resend and a resumption need a permit of a limited target") {
  for (CallKind Kind : {CallKind::Idempotent, CallKind::Stream}) {
    Relay Fixture;
    Fixture.setKind(Kind, true);
    Fixture.limitAllTargets();
    Fixture.addTarget("d");
    RelayOutcome Outcome = Fixture.runScript({brokenStream(1, 2)});
    CHECK(Outcome.Sends == 1);
    CHECK(Fixture.SentCalls.size() == 1);
  }
}

TEST_CASE("a prompt part that crashes each target is not sent for ever in "
          "requests that differ") {
  Relay Fixture;
  Fixture.setKind(CallKind::Stream, false);
  auto Request = [&](const std::string &Part, int Number) {
    RelayCall Call = Fixture.makeCall();
    Call.Body = std::to_string(Number);
    Call.Parts = {{"shared", 10}, {Part, 10}, {std::to_string(Number), 10}};
    return Call;
  };
  unsigned Sends = 0;
  for (int I = 0; I < 20; ++I) {
    Fixture.Responses = {brokenStream(1, 0)};
    RelayOutcome Crashed = Fixture.serve(Request("deadly", 2 * I));
    Sends += Crashed.Sends;
    if (Crashed.Sends > 0) {
      Fixture.Dispatcher.targets().onRemoved(Crashed.Target,
                                             Fixture.Simulated.now());
      Fixture.addTarget("restarted" + std::to_string(I));
    }
    Fixture.Responses = {completeStream(1, 5)};
    CHECK(Fixture.serve(Request("sound", 2 * I + 1)).End == RelayEnd::Done);
    Fixture.Simulated.runFor(1s);
  }
  // The fifth crash may not be followed by more than three sends.
  CHECK(Sends <= 8);
}

// Guards against an exception that left the task of one call and ended the
// process, with the calls of all others (review/1).
TEST_CASE("a call for whose answer there is no memory is told so, and nothing "
          "else is concluded from it") {
  Relay Fixture;
  Fixture.setKind(CallKind::NonIdempotent);
  bool Throws = false;
  SUBCASE("as the answer is read") {}
  SUBCASE("anywhere else in the exchange") { Throws = true; }
  ScriptedResponse Endless;
  Endless.ConnectionError = NetError::OutOfMemory;
  Endless.ThrowsBadAlloc = Throws;
  RelayOutcome Outcome = Fixture.runScript({Endless});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Outcome.Reason == RelayReason::OutOfMemory);
  CHECK(Fixture.Status == 502);
  CHECK(Fixture.SentCalls.size() == 1);
  CHECK(Fixture.Dispatcher.quarantine().size() == 0);
  // The target has no call in progress any more.
  CHECK(Fixture.Dispatcher.targets().find(Outcome.Target)->Running == 0);
}

TEST_CASE("a repeatable call goes to another target if there is no memory for "
          "the answer") {
  Relay Fixture;
  Fixture.setKind(CallKind::Idempotent);
  ScriptedResponse Endless;
  Endless.ConnectionError = NetError::OutOfMemory;
  RelayOutcome Outcome = Fixture.runScript({Endless, completeStream(1, 1)});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Fixture.SentCalls.size() == 2);
}

// Guards against answers that are bounded one by one, but not in sum
// (review/5).
TEST_CASE("an answer that does not fit beside what others hold is refused at "
          "once, and its memory is free again") {
  Relay Fixture;
  Fixture.setKind(CallKind::NonIdempotent);
  ScriptedResponse Long;
  Long.IsEventStream = false;
  for (int I = 0; I < 100; ++I)
    Long.Pieces.emplace_back(1ms, std::string(64 * 1024, 'x'));
  std::size_t Free = Fixture.Memory->policy().MaxBytes;
  auto Others = Fixture.Memory->open({1});
  REQUIRE(Fixture.Memory->resize(Others, Free / 2));
  RelayOutcome Outcome = Fixture.runScript({Long});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Outcome.Reason == RelayReason::OutOfMemory);
  CHECK(Fixture.SentCalls.at(0).WasAborted);
  Fixture.Memory->close(Others);
  CHECK(Fixture.Memory->usedBytes() == 0);
  CHECK(Fixture.runScript({Long}).End == RelayEnd::Done);
  CHECK(Fixture.Memory->usedBytes() == 0);
}

// Guards against calls that were cut off without an answer and without a line
// in the log at the end of a planned stop.
TEST_CASE("a call that is in progress as its host stops is answered by what is "
          "true") {
  Relay Fixture;
  Fixture.AnswersAt = Fixture.Simulated.now() + 1s;
  ScriptedResponse Silent;
  Silent.Stalls = true;
  SUBCASE("it may have run") {
    Fixture.setKind(CallKind::NonIdempotent);
    RelayOutcome Outcome = Fixture.runScript({Silent});
    CHECK(Outcome.End == RelayEnd::Unknown);
    CHECK(Outcome.Reason == RelayReason::Stopping);
    CHECK(Fixture.Status == 502);
    CHECK(Outcome.Total == 1s);
  }
  SUBCASE("it is not sent to another target") {
    Fixture.setKind(CallKind::Idempotent);
    CHECK(Fixture.runScript({Silent}).Reason == RelayReason::Stopping);
    CHECK(Fixture.SentCalls.size() == 1);
  }
  SUBCASE("its stream ends so that the caller resumes it") {
    ScriptedResponse Begun = completeStream(1, 2);
    Begun.Stalls = true;
    RelayOutcome Outcome = Fixture.runScript({Begun});
    CHECK(Outcome.End == RelayEnd::Broken);
    CHECK(Outcome.Reason == RelayReason::Stopping);
    CHECK(Fixture.IsBroken);
    CHECK_FALSE(Fixture.IsEnded);
  }
  SUBCASE("it has not run") {
    Fixture.AnswersAt = Fixture.Simulated.now();
    RelayOutcome Outcome = Fixture.runScript({});
    CHECK(Outcome.End == RelayEnd::NotRun);
    CHECK(Fixture.Status == 503);
    CHECK(Fixture.RetryAfter == StoppingRetryAfter);
  }
}

TEST_CASE("a call that waited while its host began to stop is passed on only "
          "if it may be repeated") {
  Relay Fixture;
  Fixture.LastEnd = Fixture.Simulated.now() + 2s;
  SUBCASE("it may not") {
    Fixture.setKind(CallKind::NonIdempotent);
    RelayOutcome Outcome = Fixture.runScript({});
    CHECK(Outcome.End == RelayEnd::NotRun);
    CHECK(Outcome.Reason == RelayReason::Stopping);
    CHECK(Fixture.SentCalls.empty());
  }
  SUBCASE("it may") {
    Fixture.setKind(CallKind::Idempotent);
    CHECK(Fixture.runScript({completeStream(1, 1)}).End == RelayEnd::Done);
  }
}
