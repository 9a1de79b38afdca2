#include "LibReplay/ReplayWorld.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration ReconnectPause = std::chrono::milliseconds(100);
/// How much longer than the deadline it gave a caller waits for the answer.
constexpr Duration AnswerSlack = std::chrono::seconds(2);

} // namespace

void ReplayWorld::runCaller(std::size_t Index) {
  Caller &Present = this->Callers[Index];
  this->Base.sleepUntil(this->Start + Present.Request->At);
  TimePoint Began = this->Base.Now();
  if (Present.Request->HasTicket)
    this->fetchTicket(Present);
  for (std::uint32_t Number = 1;
       Number <= Present.Request->Attempts && !Present.HasHungUp; ++Number) {
    this->callHost(Index, Number);
    CallerAttempt &Attempt = this->Attempts.back();
    if (Present.HasHungUp || this->isFinal(Present, *Present.Present))
      break;
    Duration Pause = Present.Present->HasAnswer
                         ? std::max(Attempt.RetryAfter, ReconnectPause)
                         : ReconnectPause;
    this->Base.sleepUntil(this->Base.Now() + Pause);
  }
  Present.HasEnded = true;
  this->Report.Requests[Index].Took =
      std::chrono::duration_cast<Milliseconds>(this->Base.Now() - Began);
}

bool ReplayWorld::isFinal(const Caller &Present,
                          const CallerAttempt &Attempt) const {
  (void)Present;
  return Attempt.HasAnswer && !Attempt.IsAbandoned &&
         (Attempt.Verdict == Outcome::Done || !Attempt.IsRetrySafe);
}

void ReplayWorld::fetchTicket(Caller &Present) {
  ReplayHost &Issuer = this->Hosts[Present.Request->Host % this->Hosts.size()];
  TeamId Team = idOfName<TeamId>(Present.Request->Team);
  if (auto Ticket = Issuer.Desk.issueTicket(Team))
    Present.Key = Ticket.value();
  Present.Id = requestIdOf(Team, Present.Key);
}

void ReplayWorld::callHost(std::size_t Index, std::uint32_t Number) {
  Caller &Present = this->Callers[Index];
  CallerAttempt &Attempt = this->Attempts.emplace_back();
  Present.Present = &Attempt;
  Attempt.Number = Number;
  Attempt.Request = Index;
  Attempt.Host = (Present.Request->Host + Number - 1) % this->Hosts.size();
  ReplayHost &Host = this->Hosts[Attempt.Host];
  if (Host.Gate.isDead())
    return;
  if (Present.Request->Kind == RequestKind::Order)
    this->sendOrder(Present, Attempt, Host);
  else
    this->sendStream(Present, Attempt, Host);
  TimePoint Limit = this->Base.Now() + Present.Request->Patience + AnswerSlack;
  this->Base.waitUntil(Attempt.Changed, Limit, [&] {
    return Attempt.HasAnswer || Attempt.IsAbandoned || Host.Gate.isDead();
  });
  if (Attempt.HasAnswer && !Attempt.IsAbandoned)
    this->takeAnswer(Index, Attempt);
  else
    Attempt.IsAbandoned = true;
}

void ReplayWorld::sendOrder(Caller &Present, CallerAttempt &Attempt,
                            ReplayHost &Host) {
  OrderRequest Request;
  Request.Team = idOfName<TeamId>(Present.Request->Team);
  Request.Key = Present.Key;
  Request.Service = "orders";
  Request.Path = "/orders";
  Request.Body = Present.Request->Body;
  Request.Deadline = this->Base.Now() + Present.Request->Patience;
  if (Present.Request->CountsAttempts)
    Request.CallerAttempt = Attempt.Number;
  Host.serveOrder(std::move(Request), Attempt);
}

void ReplayWorld::sendStream(Caller &Present, CallerAttempt &Attempt,
                             ReplayHost &Host) {
  StreamRequest Request;
  Request.Request = Present.Id;
  Request.Team = idOfName<TeamId>(Present.Request->Team);
  Request.Prompt = Present.Request->IsPoison ? FakeEngine::PoisonWord : "";
  Request.Prompt += Present.Request->Body;
  Request.Content = hash128(Request.Prompt);
  Request.MaxTokens = Present.Request->Tokens;
  Request.Deadline = this->Base.Now() + Present.Request->Patience;
  Request.DeliveredTokens = Present.Delivered;
  Request.MayRepeat = Present.Request->MayRepeat;
  Request.MayHedge = Present.Request->MayHedge;
  if (this->Played.Policy != ReplayPolicy::Project) {
    // Callers of a plain proxy can only start anew.
    Present.Text.clear();
    Present.Delivered = 0;
    Request.DeliveredTokens = 0;
  }
  Host.serveStream(std::move(Request), Attempt,
                   [this, &Present](const StreamChunk &Piece) {
                     return this->takePiece(Present, Piece);
                   });
}

bool ReplayWorld::takePiece(Caller &Present, const StreamChunk &Piece) {
  Present.HasGap |= Piece.FirstToken != Present.Delivered;
  Present.Text += Piece.Text;
  Present.Delivered = Piece.FirstToken + Piece.Tokens;
  return true;
}

void ReplayWorld::takeAnswer(std::size_t Index, const CallerAttempt &Attempt) {
  RequestReport &Known = this->Report.Requests[Index];
  Known.Outcomes.push_back(Attempt.Verdict);
  Known.LastReason = Attempt.Reason ? Attempt.Reason.message() : "";
  Caller &Present = this->Callers[Index];
  bool IsOrder = Present.Request->Kind == RequestKind::Order;
  if (IsOrder && Attempt.Verdict == Outcome::NotRun &&
      Attempt.Reason != OutcomeError::KeyReused &&
      this->runsOf(Present.Id) > 0) {
    ++this->Report.FalseNotRun;
    this->violate(Index, "not run was said of an order that ran");
  }
  if (IsOrder && Attempt.Verdict == Outcome::Done)
    Known.IsWhole = Attempt.Body.starts_with("order " + toHex(Present.Id));
}

} // namespace bergamothook
