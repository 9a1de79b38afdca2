#include "RelayFixture.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

FakeAnswer whole(int First, int Last) {
  FakeAnswer Answer;
  for (int Id = First; Id <= Last; ++Id)
    Answer.Pieces.emplace_back(10ms, event(Id));
  return Answer;
}

FakeAnswer cut(int First, int Last, std::error_code With = NetError::Reset) {
  FakeAnswer Answer = whole(First, Last);
  Answer.EndsWith = With;
  return Answer;
}

FakeAnswer verdict(AnswerVerdict Verdict, unsigned Status = 503) {
  FakeAnswer Answer;
  Answer.Verdict = Verdict;
  Answer.Status = Status;
  return Answer;
}

FakeAnswer unreachable() {
  FakeAnswer Answer;
  Answer.IsUnreachable = true;
  return Answer;
}

/// A fleet of three targets that serves enough to have resends in its budget.
struct Relay : RelayFixture {
  Relay() {
    for (const char *Id : {"a", "b", "c"})
      this->addTarget(Id);
    this->configure();
    for (int I = 0; I < 40; ++I)
      this->Desk.resends().onRequest("engines", this->Simulated.now());
  }

  RelayOutcome play(std::vector<FakeAnswer> Script) {
    this->Answers.assign(Script.begin(), Script.end());
    return this->serve(this->makeCall());
  }

  void setKind(CallKind Kind, bool IsResumable = false) {
    this->Route.Kind = Kind;
    this->Route.IsResumable = IsResumable;
    this->configure();
  }
};

} // namespace

TEST_CASE("a whole stream reaches the caller as it came") {
  Relay Fleet;
  RelayOutcome Outcome = Fleet.play({whole(1, 5)});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Fleet.Status == 200);
  CHECK(Fleet.Body == event(1) + event(2) + event(3) + event(4) + event(5));
  CHECK(Fleet.IsEnded);
  CHECK(Outcome.Events == 5);
}

TEST_CASE("a stream that may be resumed goes on elsewhere without gap") {
  Relay Fleet;
  Fleet.setKind(CallKind::Stream, true);
  FakeAnswer First = cut(1, 2);
  First.Pieces.emplace_back(10ms, "id: 3\nda"); // Breaks inside an event.
  RelayOutcome Outcome = Fleet.play({First, whole(3, 4)});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Fleet.Body == event(1) + event(2) + event(3) + event(4));
  REQUIRE(Fleet.Seen.size() == 2);
  CHECK(Fleet.Seen[1].ResumeAfter == 2);
  CHECK(Fleet.Seen[0].Target != Fleet.Seen[1].Target);
  CHECK(Fleet.Seen[0].WasAborted);
}

TEST_CASE("a resumed stream with a gap or a repeat is broken off") {
  for (int Next : {2, 4}) {
    Relay Fleet;
    Fleet.setKind(CallKind::Stream, true);
    RelayOutcome Outcome = Fleet.play({cut(1, 2), whole(Next, 6)});
    CHECK(Outcome.End == RelayEnd::Broken);
    CHECK(Fleet.Body == event(1) + event(2));
    CHECK(Fleet.IsBroken);
    CHECK_FALSE(Fleet.IsEnded);
  }
}

TEST_CASE("a stream that may not be resumed ends as broken, never as whole") {
  Relay Fleet;
  RelayOutcome Outcome = Fleet.play({cut(1, 2)});
  CHECK(Outcome.End == RelayEnd::Broken);
  CHECK(Fleet.IsBroken);
  CHECK_FALSE(Fleet.IsEnded);
  CHECK(Fleet.Seen.size() == 1);
}

TEST_CASE("a call that may not be repeated is sent once when it may have run") {
  for (std::error_code With :
       {make_error_code(NetError::Reset), make_error_code(NetError::Closed),
        make_error_code(NetError::Malformed)}) {
    Relay Fleet;
    Fleet.setKind(CallKind::NonIdempotent);
    FakeAnswer Lost;
    Lost.EndsWith = With;
    RelayOutcome Outcome = Fleet.play({Lost, whole(1, 1)});
    CHECK(Outcome.End == RelayEnd::Unknown);
    CHECK(Fleet.Status == 502);
    CHECK(Fleet.Seen.size() == 1);
    CHECK_FALSE(Fleet.RetryAfter);
  }
}

TEST_CASE("what a target did not run may go to the next, whatever the kind") {
  Relay Fleet;
  Fleet.setKind(CallKind::NonIdempotent);
  RelayOutcome Outcome =
      Fleet.play({verdict(AnswerVerdict::NotRun),
                  verdict(AnswerVerdict::WrongTarget, 421), whole(1, 1)});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Outcome.Sends == 3);
}

TEST_CASE("a refusal is not-run only when no target may have run the call") {
  Relay Fleet;
  Fleet.Route.MaxTargets = 3;
  Fleet.setKind(CallKind::Idempotent);
  FakeAnswer Lost;
  Lost.EndsWith = NetError::Reset;
  RelayOutcome Outcome =
      Fleet.play({Lost, verdict(AnswerVerdict::NotRun), unreachable()});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Fleet.Status == 502);
  Relay Second;
  Outcome = Second.play({unreachable(), unreachable(), unreachable()});
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Second.Status == 503);
  CHECK(Second.RetryAfter);
}

TEST_CASE("resends end with their budget") {
  RelayFixture Fleet;
  for (const char *Id : {"a", "b", "c", "d"})
    Fleet.addTarget(Id);
  Fleet.configure();
  Fleet.Answers = {
      verdict(AnswerVerdict::NotRun), verdict(AnswerVerdict::NotRun),
      verdict(AnswerVerdict::NotRun), verdict(AnswerVerdict::NotRun)};
  RelayOutcome Outcome = Fleet.serve(Fleet.makeCall());
  CHECK(Outcome.Sends == 3); // One first send, and the slack of two.
  CHECK(Fleet.Status == 503);
}

TEST_CASE("a success without proof, or a damaged one, is no success") {
  Relay Fleet;
  RelayOutcome Outcome = Fleet.play({verdict(AnswerVerdict::Unproven, 200)});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Fleet.Status == 502);
}

TEST_CASE("a late answer to another call is passed over") {
  Relay Fleet;
  FakeAnswer Answer = whole(7, 9);
  Answer.Verdict = AnswerVerdict::Foreign;
  Answer.NextPieces = whole(1, 2).Pieces;
  RelayOutcome Outcome = Fleet.play({Answer});
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Fleet.Body == event(1) + event(2));
  CHECK(Fleet.Seen.size() == 1);
}

TEST_CASE("bytes without end that are no answer are not read to the deadline") {
  Relay Fleet;
  Fleet.setKind(CallKind::NonIdempotent);
  FakeAnswer Endless;
  for (int I = 0; I < 400; ++I)
    Endless.Pieces.emplace_back(10ms, std::string(64 * 1024, 'x'));
  SUBCASE("in an event") {}
  SUBCASE("in the answer to another call") {
    Endless.Verdict = AnswerVerdict::Foreign;
  }
  TimePoint Begin = Fleet.Simulated.now();
  RelayOutcome Outcome = Fleet.play({Endless});
  CHECK(Outcome.End == RelayEnd::Unknown);
  CHECK(Outcome.Reason == RelayReason::TargetGarbled);
  CHECK(Fleet.Status == 502);
  CHECK(Fleet.Body.size() < 1000);
  CHECK(Fleet.Seen[0].WasAborted);
  CHECK(Fleet.Simulated.now() - Begin < 2s);
}

TEST_CASE("the caller gets its final answer at the deadline") {
  SUBCASE("of the route, before any event") {
    Relay Fleet;
    Fleet.Route.Timeout = 2s;
    Fleet.configure();
    FakeAnswer Slow = whole(1, 2);
    Slow.HeadAfter = 30s;
    TimePoint Begin = Fleet.Simulated.now();
    RelayOutcome Outcome = Fleet.play({Slow});
    CHECK(Outcome.End == RelayEnd::Unknown);
    CHECK(Fleet.Status == 504);
    CHECK(Fleet.Simulated.now() - Begin <= 2s);
    CHECK(Fleet.Seen[0].WasAborted);
  }
  SUBCASE("in the middle of a stream") {
    Relay Fleet;
    FakeAnswer Mute = whole(1, 2);
    Mute.IsSilent = true;
    RelayOutcome Outcome = Fleet.play({Mute});
    CHECK(Outcome.End == RelayEnd::Broken);
    CHECK(Fleet.IsBroken);
    CHECK(Outcome.Total <= 5s);
  }
}

TEST_CASE("the time passed on to a target is what is left") {
  Relay Fleet;
  Fleet.setKind(CallKind::Stream, true);
  FakeAnswer First = cut(1, 1);
  First.HeadAfter = 1s;
  Fleet.play({First, whole(2, 2)});
  REQUIRE(Fleet.Seen.size() == 2);
  CHECK(Fleet.Seen[0].TimeLeft == 5s);
  CHECK(Fleet.Seen[1].TimeLeft <= 4s);
}

TEST_CASE("work stops when its caller leaves, and nothing more is sent") {
  Relay Fleet;
  Fleet.setKind(CallKind::Stream, true);
  Fleet.LeavesAt = Fleet.Simulated.now() + 25ms;
  RelayOutcome Outcome = Fleet.play({whole(1, 50), whole(1, 50)});
  CHECK(Outcome.End == RelayEnd::CallerLeft);
  CHECK(Fleet.Seen.size() == 1);
  CHECK(Fleet.Seen[0].WasAborted);
}

TEST_CASE("a team is charged the prompt once and what was delivered") {
  Relay Fleet;
  Fleet.Team.Budget = 10'000;
  Fleet.setKind(CallKind::Stream, true);
  Fleet.Wallets.begin({KeyRing(), 1});
  Fleet.Simulated.hooks().Spawn([&] { Fleet.Wallets.run(); });
  Fleet.Simulated.runFor(4s);
  const Wallet &Purses = Fleet.Wallets.walletOf("team")->wallet();
  Fleet.Answers = {cut(1, 2), whole(3, 4)};
  RelayCall Call = Fleet.makeCall();
  Call.PromptTokens = 1000;
  Call.MaxOutputTokens = 100;
  RelayOutcome Outcome = Fleet.serve(Call);
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Outcome.TokensCharged == 1000 + 4 * 7);
  CHECK(Purses.view("team").Spent == 1028);
  CHECK(Purses.view("team").Reserved == 0);
  Fleet.Answers = {verdict(AnswerVerdict::NotRun), unreachable(), unreachable(),
                   unreachable()};
  Call = Fleet.makeCall();
  Call.PromptTokens = 1000;
  CHECK(Fleet.serve(Call).TokensCharged == 0);
  Call = Fleet.makeCall();
  Call.PromptTokens = 9'000;
  Fleet.serve(Call);
  CHECK(Fleet.Status == 402);
  Fleet.Simulated.hooks().Spawn([&] {
    TimePoint Now = Fleet.Simulated.now();
    Fleet.Wallets.stop(Now, Now + 1s);
  });
  Fleet.Simulated.runFor(3s);
  CHECK(Purses.view("team").Held == 1028);
}

TEST_CASE(
    "a target's own failure reaches the caller when nothing better does") {
  Relay Fleet;
  Fleet.setKind(CallKind::Idempotent);
  FakeAnswer Failed;
  Failed.Status = 500;
  Failed.Pieces = {{1ms, "failed"}};
  RelayOutcome Outcome = Fleet.play({Failed, Failed});
  CHECK(Outcome.Sends == 2);
  CHECK(Fleet.Status == 500);
  CHECK(Fleet.Body == "failed");
  RelayOutcome Better = Fleet.play({Failed, whole(1, 1)});
  CHECK(Better.Sends == 2);
  CHECK(Fleet.Status == 200);
}

TEST_CASE("a configuration that is not newer changes nothing") {
  Relay Fleet;
  auto Present = Fleet.Desk.config();
  auto Older = std::make_shared<RelayConfig>();
  Older->Version = Present->Version;
  CHECK_FALSE(Fleet.Desk.setConfig(Older));
  CHECK(Fleet.Desk.config() == Present);
}

TEST_CASE("a request that crashes targets stops after the third") {
  Relay Fleet;
  Fleet.addTarget("d");
  Fleet.setKind(CallKind::Stream, true);
  Fleet.Route.MaxTargets = 4;
  Fleet.configure();
  RelayOutcome First = Fleet.play({cut(1, 0), cut(1, 0), cut(1, 0), cut(1, 0)});
  CHECK(First.Sends == 3);
  CHECK(First.Reason == RelayReason::Quarantined);
  CHECK(First.End == RelayEnd::Unknown);

  RelayOutcome Again = Fleet.play({whole(1, 3)});
  CHECK(Again.Sends == 0);
  CHECK(Again.End == RelayEnd::NotRun);
  CHECK(Fleet.Status == 503);

  RelayCall Other = Fleet.makeCall();
  Other.Body += " ";
  Fleet.Answers = {whole(1, 3)};
  CHECK(Fleet.serve(Other).End == RelayEnd::Done);
}

TEST_CASE("a target lost within a stream is not blamed on the request") {
  Relay Fleet;
  Fleet.setKind(CallKind::Stream, true);
  Fleet.Route.MaxTargets = 3;
  Fleet.configure();
  CHECK(Fleet.play({cut(1, 2), cut(3, 4), cut(5, 6)}).Sends == 3);
  CHECK(Fleet.Desk.crashes().size() == 0);
}

TEST_CASE("a target's failure that its caller did not get is not done") {
  Relay Fleet;
  Fleet.setKind(CallKind::NonIdempotent);
  FakeAnswer Failed = whole(1, 1);
  Failed.Status = 500;
  Fleet.IsDeaf = true;
  CHECK(Fleet.play({Failed}).End == RelayEnd::CallerLeft);
}
