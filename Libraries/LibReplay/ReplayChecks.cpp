#include "LibReplay/ReplaySimulation.h"

#include <algorithm>

namespace bergamothook {

std::uint32_t ReplaySimulation::runsOf(RequestId Request) const {
  std::uint32_t Runs = 0;
  auto Add = [&](const FakeTarget &Target) {
    auto Entry = Target.ledger().find(Request);
    if (Entry != Target.ledger().end())
      Runs += Entry->second.Runs;
  };
  std::for_each(this->Platform.Runners.begin(), this->Platform.Runners.end(),
                Add);
  std::for_each(this->Platform.Engines.begin(), this->Platform.Engines.end(),
                Add);
  return Runs;
}

std::uint32_t ReplaySimulation::dispatchesOf(RequestId Request) const {
  std::uint32_t Count = 0;
  auto Add = [&](const FakeTarget &Target) {
    auto Entry = Target.ledger().find(Request);
    if (Entry != Target.ledger().end())
      Count += Entry->second.Dispatches;
  };
  std::for_each(this->Platform.Runners.begin(), this->Platform.Runners.end(),
                Add);
  std::for_each(this->Platform.Engines.begin(), this->Platform.Engines.end(),
                Add);
  return Count;
}

void ReplaySimulation::addViolation(std::size_t Index,
                                    const std::string &What) {
  this->Report.Violations.push_back("request " + std::to_string(Index) + ": " +
                                    What);
}

void ReplaySimulation::check() {
  for (std::size_t Index = 0; Index < this->Callers.size(); ++Index) {
    this->checkRequest(Index);
    this->checkExpected(Index);
  }
  this->checkAttempts();
  this->Report.Streams = this->Platform.Streams;
  this->Report.EngineAttempts = this->Platform.EngineAttempts;
  for (const auto &Host : this->Hosts)
    if (Host.AbortedAtStop > 0)
      this->Report.Violations.emplace_back("a graceful stop aborted a request");
  for (const auto &Engine : this->Platform.Engines)
    this->Report.Crashes += Engine.crashes();
}

bool ReplaySimulation::isFinalNotRun(const CallerState &Caller) const {
  const CallerAttempt *Last = Caller.CurrentAttempt;
  if (Last == nullptr || !Last->HasResponse || Last->IsAbandoned ||
      Last->Verdict != Outcome::NotRun ||
      Last->Reason == OutcomeError::KeyReused)
    return false;
  // Another caller with the same key may have it run after this one gave up.
  auto Users = std::count_if(
      this->Callers.begin(), this->Callers.end(),
      [&](const CallerState &Other) { return Other.Id == Caller.Id; });
  return Users == 1;
}

void ReplaySimulation::checkRequest(std::size_t Index) {
  const CallerState &Caller = this->Callers[Index];
  RequestReport &Entry = this->Report.Requests[Index];
  Entry.Runs = this->runsOf(Caller.Id);
  Entry.Dispatches = this->dispatchesOf(Caller.Id);
  bool IsDone =
      !Entry.Outcomes.empty() && Entry.Outcomes.back() == Outcome::Done;
  if (Caller.Request->Kind == RequestKind::Order) {
    if (Entry.Runs > 1) {
      ++this->Report.DoubledOrders;
      this->addViolation(Index, "the order ran " + std::to_string(Entry.Runs) +
                                    " times");
    }
    if (this->isFinalNotRun(Caller) && Entry.Runs > 0) {
      ++this->Report.FalseNotRun;
      this->addViolation(Index, "the order ran after a final not-run response");
    }
    if (IsDone && !Entry.IsComplete)
      this->addViolation(Index, "the response does not match the order");
    return;
  }
  std::string Prompt = Caller.Request->IsPoison ? FakeEngine::PoisonPrefix : "";
  Prompt += Caller.Request->Body;
  std::string ExpectedText = generatedText(Prompt, 0, Caller.Request->Tokens);
  Entry.IsComplete = Caller.Text == ExpectedText;
  if (Caller.HasGap)
    this->addViolation(Index, "the stream has a gap or a repeat");
  if (!ExpectedText.starts_with(Caller.Text))
    this->addViolation(Index,
                       "the stream text does not match the expected response");
  if (IsDone && !Entry.IsComplete)
    this->addViolation(Index, "a truncated response was reported as done");
  if (!Entry.IsComplete && !Caller.HasHungUp)
    ++this->Report.TruncatedResponses;
}

void ReplaySimulation::checkExpected(std::size_t Index) {
  const ScenarioRequest &Request = *this->Callers[Index].Request;
  const RequestReport &Entry = this->Report.Requests[Index];
  auto AddDifference = [&](const std::string &What) {
    this->Report.Differences.push_back("request " + std::to_string(Index) +
                                       ": " + What);
  };
  if (!Request.Expected.empty()) {
    bool IsExpected =
        !Entry.Outcomes.empty() &&
        std::find(Request.Expected.begin(), Request.Expected.end(),
                  Entry.Outcomes.back()) != Request.Expected.end();
    if (!IsExpected)
      AddDifference(Entry.Outcomes.empty()
                        ? std::string("there was no response")
                        : std::string("the outcome is ") +
                              nameOf(Entry.Outcomes.back()) + " (" +
                              Entry.LastReason + ")");
  }
  if (Request.ExpectedRuns && *Request.ExpectedRuns != Entry.Runs)
    AddDifference("it ran " + std::to_string(Entry.Runs) + " times");
}

void ReplaySimulation::checkAttempts() {
  for (const auto &Attempt : this->Attempts) {
    bool IsLate = Attempt.Settled > Attempt.Reserved;
    bool IsOpen = Attempt.HasResponse && Attempt.Settled != Attempt.Reserved;
    if (Attempt.Settled > 1 || IsLate || IsOpen)
      this->addViolation(Attempt.Request,
                         "a reservation was not settled exactly once");
  }
}

} // namespace bergamothook
