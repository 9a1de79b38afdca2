#include "LibReplay/ReplayWorld.h"

#include <algorithm>

namespace bergamothook {

std::uint32_t ReplayWorld::runsOf(RequestId Request) const {
  std::uint32_t Runs = 0;
  auto Add = [&](const FakeTarget &Target) {
    auto Line = Target.ledger().find(Request);
    if (Line != Target.ledger().end())
      Runs += Line->second.Runs;
  };
  std::for_each(this->Platform.Runners.begin(), this->Platform.Runners.end(),
                Add);
  std::for_each(this->Platform.Engines.begin(), this->Platform.Engines.end(),
                Add);
  return Runs;
}

std::uint32_t ReplayWorld::dispatchesOf(RequestId Request) const {
  std::uint32_t Count = 0;
  auto Add = [&](const FakeTarget &Target) {
    auto Line = Target.ledger().find(Request);
    if (Line != Target.ledger().end())
      Count += Line->second.Dispatches;
  };
  std::for_each(this->Platform.Runners.begin(), this->Platform.Runners.end(),
                Add);
  std::for_each(this->Platform.Engines.begin(), this->Platform.Engines.end(),
                Add);
  return Count;
}

void ReplayWorld::violate(std::size_t Index, const std::string &What) {
  this->Report.Violations.push_back("request " + std::to_string(Index) + ": " +
                                    What);
}

void ReplayWorld::check() {
  for (std::size_t At = 0; At < this->Callers.size(); ++At) {
    this->checkRequest(At);
    this->checkExpected(At);
  }
  this->checkAttempts();
  this->Report.Streams = this->Platform.Streams;
  this->Report.EngineAttempts = this->Platform.EngineAttempts;
  for (const auto &Host : this->Hosts)
    if (Host.CutAtStop > 0)
      this->Report.Violations.emplace_back("a planned stop cut a request");
  for (const auto &Engine : this->Platform.Engines)
    this->Report.Crashes += Engine.crashes();
}

bool ReplayWorld::isRefusedForGood(const Caller &Present) const {
  const CallerAttempt *Last = Present.Present;
  if (Last == nullptr || !Last->HasAnswer || Last->IsAbandoned ||
      Last->Verdict != Outcome::NotRun ||
      Last->Reason == OutcomeError::KeyReused)
    return false;
  // Another caller of the same key may have it run after this one gave up.
  auto Users =
      std::count_if(this->Callers.begin(), this->Callers.end(),
                    [&](const Caller &Each) { return Each.Id == Present.Id; });
  return Users == 1;
}

void ReplayWorld::checkRequest(std::size_t Index) {
  const Caller &Present = this->Callers[Index];
  RequestReport &Known = this->Report.Requests[Index];
  Known.Runs = this->runsOf(Present.Id);
  Known.Dispatches = this->dispatchesOf(Present.Id);
  bool IsDone =
      !Known.Outcomes.empty() && Known.Outcomes.back() == Outcome::Done;
  if (Present.Request->Kind == RequestKind::Order) {
    if (Known.Runs > 1) {
      ++this->Report.DoubledOrders;
      this->violate(Index,
                    "the order ran " + std::to_string(Known.Runs) + " times");
    }
    if (this->isRefusedForGood(Present) && Known.Runs > 0) {
      ++this->Report.FalseNotRun;
      this->violate(Index, "the order ran after it was refused for good");
    }
    if (IsDone && !Known.IsWhole)
      this->violate(Index, "the answer is not that of the order");
    return;
  }
  std::string Prompt = Present.Request->IsPoison ? FakeEngine::PoisonWord : "";
  Prompt += Present.Request->Body;
  std::string Whole = textOfTokens(Prompt, 0, Present.Request->Tokens);
  Known.IsWhole = Present.Text == Whole;
  if (Present.HasGap)
    this->violate(Index, "the stream has a gap or a repeat");
  if (!Whole.starts_with(Present.Text))
    this->violate(Index, "the stream carries foreign text");
  if (IsDone && !Known.IsWhole)
    this->violate(Index, "a cut answer passed for a whole one");
  if (!Known.IsWhole && !Present.HasHungUp)
    ++this->Report.TruncatedResponses;
}

void ReplayWorld::checkExpected(std::size_t Index) {
  const ScenarioRequest &Stated = *this->Callers[Index].Request;
  const RequestReport &Known = this->Report.Requests[Index];
  auto Differ = [&](const std::string &What) {
    this->Report.Differences.push_back("request " + std::to_string(Index) +
                                       ": " + What);
  };
  if (!Stated.Expected.empty()) {
    bool IsStated = !Known.Outcomes.empty() &&
                    std::find(Stated.Expected.begin(), Stated.Expected.end(),
                              Known.Outcomes.back()) != Stated.Expected.end();
    if (!IsStated)
      Differ(Known.Outcomes.empty() ? std::string("no answer came")
                                    : std::string("the outcome is ") +
                                          nameOf(Known.Outcomes.back()) + " (" +
                                          Known.LastReason + ")");
  }
  if (Stated.ExpectedRuns && *Stated.ExpectedRuns != Known.Runs)
    Differ("it ran " + std::to_string(Known.Runs) + " times");
}

void ReplayWorld::checkAttempts() {
  for (const auto &Attempt : this->Attempts) {
    bool IsLate = Attempt.Settled > Attempt.Reserved;
    bool IsOpen = Attempt.HasAnswer && Attempt.Settled != Attempt.Reserved;
    if (Attempt.Settled > 1 || IsLate || IsOpen)
      this->violate(Attempt.Request, "a reservation was not settled once");
  }
}

} // namespace bergamothook
