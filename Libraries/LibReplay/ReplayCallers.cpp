#include "LibReplay/ReplaySimulation.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration ReconnectDelay = std::chrono::milliseconds(100);
/// How long a caller waits for the response beyond the deadline it sent.
constexpr Duration ResponseTimeoutMargin = std::chrono::seconds(2);

} // namespace

void ReplaySimulation::runCaller(std::size_t Index) {
  CallerState &Caller = this->Callers[Index];
  this->Base.sleepUntil(this->Start + Caller.Request->At);
  TimePoint StartedAt = this->Base.Now();
  if (Caller.Request->HasTicket)
    this->fetchTicket(Caller);
  for (std::uint32_t Number = 1;
       Number <= Caller.Request->Attempts && !Caller.HasHungUp; ++Number) {
    this->callHost(Index, Number);
    CallerAttempt &Attempt = this->Attempts.back();
    if (Caller.HasHungUp || this->isFinal(Caller, *Caller.CurrentAttempt))
      break;
    Duration Delay = Caller.CurrentAttempt->HasResponse
                         ? std::max(Attempt.RetryAfter, ReconnectDelay)
                         : ReconnectDelay;
    this->Base.sleepUntil(this->Base.Now() + Delay);
  }
  Caller.HasEnded = true;
  this->Report.Requests[Index].ElapsedTime =
      std::chrono::duration_cast<Milliseconds>(this->Base.Now() - StartedAt);
}

bool ReplaySimulation::isFinal(const CallerState &Caller,
                               const CallerAttempt &Attempt) const {
  (void)Caller;
  return Attempt.HasResponse && !Attempt.IsAbandoned &&
         (Attempt.Verdict == Outcome::Done || !Attempt.IsRetrySafe);
}

void ReplaySimulation::fetchTicket(CallerState &Caller) {
  ReplayHost &Issuer = this->Hosts[Caller.Request->Host % this->Hosts.size()];
  TeamId Team = idOfName<TeamId>(Caller.Request->Team);
  if (auto Ticket = Issuer.Dispatcher.issueTicket(Team))
    Caller.Key = Ticket.value();
  Caller.Id = requestIdOf(Team, Caller.Key);
}

void ReplaySimulation::callHost(std::size_t Index, std::uint32_t Number) {
  CallerState &Caller = this->Callers[Index];
  CallerAttempt &Attempt = this->Attempts.emplace_back();
  Caller.CurrentAttempt = &Attempt;
  Attempt.Number = Number;
  Attempt.Request = Index;
  Attempt.Host = (Caller.Request->Host + Number - 1) % this->Hosts.size();
  ReplayHost &Host = this->Hosts[Attempt.Host];
  if (Host.Process.isDead())
    return;
  if (Caller.Request->Kind == RequestKind::Order)
    this->sendOrder(Caller, Attempt, Host);
  else
    this->sendStream(Caller, Attempt, Host);
  TimePoint Deadline =
      this->Base.Now() + Caller.Request->Timeout + ResponseTimeoutMargin;
  this->Base.waitUntil(Attempt.Changed, Deadline, [&] {
    return Attempt.HasResponse || Attempt.IsAbandoned || Host.Process.isDead();
  });
  if (Attempt.HasResponse && !Attempt.IsAbandoned)
    this->recordResponse(Index, Attempt);
  else
    Attempt.IsAbandoned = true;
}

void ReplaySimulation::sendOrder(CallerState &Caller, CallerAttempt &Attempt,
                                 ReplayHost &Host) {
  OrderRequest Request;
  Request.Team = idOfName<TeamId>(Caller.Request->Team);
  Request.Key = Caller.Key;
  Request.Service = "orders";
  Request.Path = "/orders";
  Request.Body = Caller.Request->Body;
  Request.Deadline = this->Base.Now() + Caller.Request->Timeout;
  if (Caller.Request->CountsAttempts)
    Request.CallerAttempt = Attempt.Number;
  Host.serveOrder(std::move(Request), Attempt);
}

void ReplaySimulation::sendStream(CallerState &Caller, CallerAttempt &Attempt,
                                  ReplayHost &Host) {
  StreamRequest Request;
  Request.Request = Caller.Id;
  Request.Team = idOfName<TeamId>(Caller.Request->Team);
  Request.Prompt = Caller.Request->IsPoison ? FakeEngine::PoisonPrefix : "";
  Request.Prompt += Caller.Request->Body;
  Request.Content = hash128(Request.Prompt);
  Request.MaxTokens = Caller.Request->Tokens;
  Request.Deadline = this->Base.Now() + Caller.Request->Timeout;
  Request.DeliveredTokens = Caller.Delivered;
  Request.MayRepeat = Caller.Request->MayRepeat;
  Request.MayHedge = Caller.Request->MayHedge;
  if (this->Input.Policy != ReplayPolicy::Project) {
    // A plain proxy can't resume a stream, so the caller starts over.
    Caller.Text.clear();
    Caller.Delivered = 0;
    Request.DeliveredTokens = 0;
  }
  Host.serveStream(std::move(Request), Attempt,
                   [this, &Caller](const StreamChunk &Chunk) {
                     return this->receiveChunk(Caller, Chunk);
                   });
}

bool ReplaySimulation::receiveChunk(CallerState &Caller,
                                    const StreamChunk &Chunk) {
  Caller.HasGap |= Chunk.FirstToken != Caller.Delivered;
  Caller.Text += Chunk.Text;
  Caller.Delivered = Chunk.FirstToken + Chunk.Tokens;
  return true;
}

void ReplaySimulation::recordResponse(std::size_t Index,
                                      const CallerAttempt &Attempt) {
  RequestReport &Entry = this->Report.Requests[Index];
  Entry.Outcomes.push_back(Attempt.Verdict);
  Entry.LastReason = Attempt.Reason ? Attempt.Reason.message() : "";
  CallerState &Caller = this->Callers[Index];
  bool IsOrder = Caller.Request->Kind == RequestKind::Order;
  if (IsOrder && Attempt.Verdict == Outcome::NotRun &&
      Attempt.Reason != OutcomeError::KeyReused &&
      this->runsOf(Caller.Id) > 0) {
    ++this->Report.FalseNotRun;
    this->addViolation(Index, "an order that ran was reported as not run");
  }
  if (IsOrder && Attempt.Verdict == Outcome::Done)
    Entry.IsComplete = Attempt.Body.starts_with("order " + toHex(Caller.Id));
}

} // namespace bergamothook
