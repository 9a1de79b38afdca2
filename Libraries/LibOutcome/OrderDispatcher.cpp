#include "LibOutcome/OrderDispatcher.h"

#include <algorithm>

namespace bergamothook {

namespace {

std::int64_t dateOf(const std::string &Key) {
  auto Date = dateOfKey(Key);
  return Date ? Date->time_since_epoch().count() : 0;
}

Hash128 bodyHashOf(const OrderRequest &Request) {
  std::string Canonical = Request.Service + '\0' + Request.Method + '\0' +
                          Request.Path + '\0' + Request.Body;
  return hash128(Canonical);
}

/// Increases with each claim in log order.
std::uint64_t fencingNumberOf(RecordPosition Position) {
  constexpr unsigned IndexBits = 20;
  return ((Position.At.Value + 1) << IndexBits) + Position.Index;
}

} // namespace

OrderDispatcher::OrderDispatcher(Incarnation Self, StreamAppender &Records,
                                 OrderFoldLimits StateLimits,
                                 OrderDispatcherSettings Settings,
                                 OrderDispatcherHooks Hooks, std::uint64_t Seed)
    : Self(Self), Records(Records), Settings(Settings), Hooks(std::move(Hooks)),
      State(StateLimits), Rng(Seed) {}

void OrderDispatcher::apply(const StreamRecord &Record,
                            RecordPosition Position) {
  auto Request = this->State.apply(Record, Position);
  if (Request && Request.value()) {
    const OrderEntry *Entry = this->State.find(*Request.value());
    if (Entry != nullptr && Entry->State != OrderState::Claimed)
      this->LocalResults.erase(*Request.value());
  }
  this->Records.confirm(Record.Id, Position);
  this->Changed.notify();
}

OrderAnswer OrderDispatcher::run(const OrderRequest &Request) {
  ++this->CallsInProgress;
  std::optional<OrderAnswer> Reply;
  // If another process releases its claim while this task waits, the key is
  // free and the order is claimed again.
  while (!Reply)
    Reply = this->runOnce(Request);
  --this->CallsInProgress;
  this->Changed.notify();
  return *Reply;
}

std::optional<OrderAnswer>
OrderDispatcher::runOnce(const OrderRequest &Request) {
  RequestId Id = requestIdOf(Request.Team, Request.Key);
  Hash128 BodyHash = bodyHashOf(Request);
  if (this->currentAnswer(Id, BodyHash) || this->Running.contains(Id))
    return this->waitForResult(Id, BodyHash, Request.Deadline);
  if (this->State.isSuperseded(Id, Request.CallerAttempt))
    return this->notRun(OutcomeError::Superseded, Duration::zero());
  if (auto Ticket = ticketOfKey(Request.Key))
    return this->runTicketed(Request, Id, *Ticket);
  if (auto Refusal = this->rejectKey(Request, Id))
    return Refusal;
  return this->runClaimed(Request, Id);
}

std::optional<OrderAnswer>
OrderDispatcher::rejectKey(const OrderRequest &Request, RequestId Id) const {
  std::int64_t Date = dateOf(Request.Key);
  std::int64_t Ahead = this->Settings.MaxKeyAhead.count();
  OrderAnswer Refusal;
  Refusal.IsRetrySafe = false;
  if (Date > this->wallMilliseconds() + Ahead)
    Refusal.Reason = OutcomeError::KeyFromFuture;
  if (this->State.keyStatusOf(Id, Date) == KeyStatus::TooOld)
    Refusal.Reason = OutcomeError::KeyTooOld;
  if (Refusal.Reason)
    return Refusal;
  if (this->IsDraining || this->Hooks.Tasks.Now() >= Request.Deadline)
    return this->rejectUnavailable(Request);
  return std::nullopt;
}

std::optional<OrderAnswer>
OrderDispatcher::runClaimed(const OrderRequest &Request, RequestId Id) {
  TimePoint Now = this->Hooks.Tasks.Now();
  auto Target = this->Hooks.ChooseTarget(Request, {}, Now);
  // The claim is made even without a target: only if it wins does this host
  // know that no earlier attempt is running elsewhere.
  TargetId First = Target ? Target.value().Id : TargetId{};
  StreamRecord Claim = this->makeClaim(Request, Id, First, false);
  TimePoint Limit =
      std::min(Request.Deadline, Now + this->Settings.ClaimTimeout);
  auto Position = this->Records.submitAndWait(Claim, Limit);
  if (!Position) {
    // The claim may still reach the log and must not block the key then.
    this->release(Id, Claim.Id);
    return this->rejectUnavailable(Request);
  }
  const OrderEntry *Entry = this->State.find(Id);
  if (Entry == nullptr || Entry->Claim != Claim.Id)
    return this->waitForResult(Id, bodyHashOf(Request), Request.Deadline);
  if (!Target)
    return this->abandonClaim(Id, Claim.Id, OutcomeError::NoTarget);
  if (!this->State.isWinner(Id, Claim.Id))
    return this->abandonClaim(Id, Claim.Id, OutcomeError::LogUnavailable);
  if (this->Hooks.Tasks.Now() >= Request.Deadline)
    return this->abandonClaim(Id, Claim.Id, OutcomeError::DeadlinePassed);
  this->dispatch({Request, Id, Claim.Id, Target.value(),
                  fencingNumberOf(Position.value())});
  return this->waitForResult(Id, bodyHashOf(Request), Request.Deadline);
}

OrderAnswer OrderDispatcher::abandonClaim(RequestId Id, RecordId Claim,
                                          OutcomeError Reason) {
  this->release(Id, Claim);
  return this->notRun(Reason, this->Settings.RetryAfterRunning);
}

std::optional<OrderAnswer>
OrderDispatcher::runTicketed(const OrderRequest &Request, RequestId Id,
                             const OrderTicket &Ticket) {
  OrderAnswer Refusal;
  Refusal.Claimant = Ticket.Issuer;
  if (Ticket.Issuer != this->Self) {
    Refusal.Reason = OutcomeError::ForeignTicket;
    Refusal.RetryAfter = this->Settings.RetryAfterOutage;
    return Refusal;
  }
  TimePoint Now = this->Hooks.Tasks.Now();
  this->expireTickets(Now);
  auto Known = this->Tickets.find(Ticket);
  if (Known == this->Tickets.end() || Known->second.Team != Request.Team ||
      Known->second.IsUsed) {
    Refusal.Reason = OutcomeError::UnknownTicket;
    Refusal.IsRetrySafe = false;
    return Refusal;
  }
  if (this->IsDraining)
    return this->notRun(OutcomeError::Draining, Duration::zero());
  auto Target = this->Hooks.ChooseTarget(Request, {}, Now);
  if (!Target)
    return this->notRun(OutcomeError::NoTarget,
                        this->Settings.RetryAfterRunning);
  // Only this process may dispatch the ticket, and it marks the ticket as used
  // before anything is sent, so the claim need not be read back first.
  Known->second.IsUsed = true;
  StreamRecord Claim = this->makeClaim(Request, Id, Target.value().Id, true);
  if (!this->Records.submit(Claim)) {
    Known->second.IsUsed = false;
    return this->notRun(OutcomeError::LogUnavailable,
                        this->Settings.RetryAfterOutage);
  }
  this->dispatch({Request, Id, Claim.Id, Target.value(), 0});
  return this->waitForResult(Id, bodyHashOf(Request), Request.Deadline);
}

OrderAnswer
OrderDispatcher::rejectUnavailable(const OrderRequest &Request) const {
  OrderAnswer Refusal;
  Refusal.Reason =
      this->IsDraining ? OutcomeError::Draining : OutcomeError::LogUnavailable;
  Refusal.RetryAfter = this->Settings.RetryAfterOutage;
  // This host sent nothing. That proves only for the first attempt of a key
  // that the order did not run; for a later one, an earlier attempt may have
  // run through another host.
  if (Request.CallerAttempt == 1)
    Refusal.Verdict = Outcome::NotRun;
  return Refusal;
}

OrderAnswer OrderDispatcher::notRun(std::error_code Reason,
                                    Duration RetryAfter) const {
  OrderAnswer Refusal;
  Refusal.Verdict = Outcome::NotRun;
  Refusal.Reason = Reason;
  Refusal.RetryAfter = RetryAfter;
  return Refusal;
}

std::optional<OrderAnswer>
OrderDispatcher::answerFromState(RequestId Id, Hash128 BodyHash) const {
  const OrderEntry *Entry = this->State.find(Id);
  if (Entry == nullptr)
    return std::nullopt;
  OrderAnswer Reply;
  Reply.Claimant = Entry->Claimant;
  Reply.IsRecorded = true;
  if (Entry->BodyHash != BodyHash) {
    // This body never ran under the key, but the other body may have.
    Reply.Verdict = Outcome::NotRun;
    Reply.Reason = OutcomeError::KeyReused;
    Reply.IsRetrySafe = false;
    return Reply;
  }
  switch (Entry->State) {
  case OrderState::Released:
    return std::nullopt;
  case OrderState::Claimed:
    Reply.Verdict = Outcome::InProgress;
    Reply.Reason = OutcomeError::StillRunning;
    Reply.RetryAfter = this->Settings.RetryAfterRunning;
    return Reply;
  case OrderState::Unknown:
    Reply.Reason = OutcomeError::ResultUnknown;
    Reply.RetryAfter = this->Settings.RetryAfterOutage;
    return Reply;
  case OrderState::SettledNotRun:
    Reply.Verdict = Outcome::NotRun;
    Reply.Reason = OutcomeError::SettledAsNotRun;
    Reply.IsRetrySafe = false;
    return Reply;
  case OrderState::SettledDone:
    Reply.Verdict = Outcome::Done;
    Reply.Reason = OutcomeError::ResultNotKept;
    return Reply;
  case OrderState::Done:
    break;
  }
  Reply.Verdict = Outcome::Done;
  Reply.Answer = {Entry->Status, Entry->ContentType, Entry->Body};
  if (!Entry->IsResultWhole)
    Reply.Reason = OutcomeError::ResultNotKept;
  return Reply;
}

std::optional<OrderAnswer>
OrderDispatcher::answerFromLocalResult(RequestId Id, Hash128 BodyHash) const {
  auto Known = this->LocalResults.find(Id);
  if (Known == this->LocalResults.end())
    return std::nullopt;
  const LocalResult &Local = Known->second;
  if (Local.BodyHash != BodyHash) {
    OrderAnswer Refusal = this->notRun(OutcomeError::KeyReused, {});
    Refusal.IsRetrySafe = false;
    return Refusal;
  }
  OrderAnswer Reply;
  Reply.Claimant = this->Self;
  Reply.Verdict = Local.Verdict;
  Reply.Reason = Local.Reason;
  Reply.Answer = Local.Answer;
  if (Local.Verdict != Outcome::Done)
    Reply.RetryAfter = this->Settings.RetryAfterRunning;
  return Reply;
}

std::optional<OrderAnswer>
OrderDispatcher::currentAnswer(RequestId Id, Hash128 BodyHash) const {
  if (auto Local = this->answerFromLocalResult(Id, BodyHash))
    return Local;
  return this->answerFromState(Id, BodyHash);
}

std::optional<OrderAnswer> OrderDispatcher::waitForResult(RequestId Id,
                                                          Hash128 BodyHash,
                                                          TimePoint Deadline) {
  this->Hooks.Tasks.waitUntil(this->Changed, Deadline, [&] {
    auto Now = this->currentAnswer(Id, BodyHash);
    return Now ? Now->Verdict != Outcome::InProgress
               : !this->Running.contains(Id);
  });
  auto Reply = this->currentAnswer(Id, BodyHash);
  if (Reply || !this->Running.contains(Id))
    return Reply;
  OrderAnswer InProgress;
  InProgress.Verdict = Outcome::InProgress;
  InProgress.Reason = OutcomeError::StillRunning;
  InProgress.RetryAfter = this->Settings.RetryAfterRunning;
  InProgress.Claimant = this->Self;
  return InProgress;
}

void OrderDispatcher::dispatch(Dispatch Order) {
  this->Running.emplace(Order.Id, Order.Claim);
  // A separate task continues after the caller disconnects or its deadline
  // passes, so that a late response is recorded for retries.
  this->Hooks.Tasks.Spawn([this, Order = std::move(Order)]() mutable {
    LocalResult Local = this->callTargets(Order);
    Local.BodyHash = bodyHashOf(Order.Request);
    this->recordResult(Order, Local);
    if (Local.Verdict == Outcome::NotRun)
      this->markTicketUnused(Order.Request.Key);
    this->LocalResults[Order.Id] = std::move(Local);
    this->Running.erase(Order.Id);
    this->Changed.notify();
  });
}

OrderDispatcher::LocalResult OrderDispatcher::callTargets(Dispatch &Order) {
  std::vector<TargetId> Tried;
  LocalResult Local;
  for (std::uint32_t Attempt = 1;; ++Attempt) {
    auto Answer = this->callOnce(Order, AttemptNumber{Attempt});
    if (Answer) {
      Local.Verdict = Outcome::Done;
      Local.Answer = std::move(Answer.value());
      return Local;
    }
    Local.Reason = Answer.error();
    if (!provesNotRun(Answer.error()))
      return Local;
    Local.Verdict = Outcome::NotRun;
    Tried.push_back(Order.Target.Id);
    TimePoint Now = this->Hooks.Tasks.Now();
    if (Tried.size() >= this->Settings.MaxTargets ||
        Answer.error() == TargetError::BadRequest ||
        Now >= Order.Request.Deadline)
      return Local;
    auto Next = this->Hooks.ChooseTarget(Order.Request, Tried, Now);
    if (!Next)
      return Local;
    Order.Target = Next.value();
    this->record(OrderRecordKind::Moved,
                 OrderMoved{Order.Id, Order.Claim, Order.Target.Id});
    Local.Verdict = Outcome::Unknown;
  }
}

Result<ServiceAnswer> OrderDispatcher::callOnce(const Dispatch &Order,
                                                AttemptNumber Attempt) {
  ServiceCall Call;
  Call.Request = Order.Id;
  Call.Attempt = Attempt;
  Call.Method = Order.Request.Method;
  Call.Path = Order.Request.Path;
  Call.Body = Order.Request.Body;
  Call.ContentType = Order.Request.ContentType;
  Call.FencingNumber = Order.FencingNumber;
  TimePoint Limit =
      std::max(Order.Request.Deadline,
               this->Hooks.Tasks.Now() + this->Settings.ResultTimeout);
  auto Answer = this->Hooks.Service.Call(Order.Target.Address, Call, Limit);
  std::error_code Failure =
      Answer ? std::error_code() : std::error_code(Answer.error());
  if (this->Hooks.Report)
    this->Hooks.Report(Order.Target.Id, Failure, this->Hooks.Tasks.Now());
  return Answer;
}

void OrderDispatcher::recordResult(const Dispatch &Order,
                                   const LocalResult &Local) {
  if (Local.Verdict == Outcome::NotRun) {
    this->release(Order.Id, Order.Claim);
    return;
  }
  if (Local.Verdict == Outcome::Unknown) {
    this->record(OrderRecordKind::Unknown, OrderUnknown{Order.Id, Order.Claim});
    return;
  }
  OrderResult Stored;
  Stored.Request = Order.Id;
  Stored.Claim = Order.Claim;
  Stored.Target = Order.Target.Id;
  Stored.Status = Local.Answer.Status;
  Stored.ContentType = Local.Answer.ContentType;
  Stored.IsWhole =
      Local.Answer.Body.size() <= this->Settings.MaxStoredBodyBytes;
  if (Stored.IsWhole)
    Stored.Body = Local.Answer.Body;
  this->record(OrderRecordKind::Result, Stored);
}

void OrderDispatcher::release(RequestId Id, RecordId Claim) {
  this->record(OrderRecordKind::NotRun, OrderNotRun{Id, Claim});
}

template <typename Body>
void OrderDispatcher::record(OrderRecordKind Kind, const Body &Content) {
  // If the queue is full, the record is lost. Retries are then answered as in
  // progress or unknown, which is safe.
  (void)this->Records.submit(
      makeOrderRecord(this->Rng.next128(), this->Self, Kind, Content));
}

StreamRecord OrderDispatcher::makeClaim(const OrderRequest &Request,
                                        RequestId Id, TargetId Target,
                                        bool IsTicketed) {
  OrderClaim Claim;
  Claim.Request = Id;
  Claim.Team = Request.Team;
  Claim.BodyHash = bodyHashOf(Request);
  Claim.Target = Target;
  Claim.WrittenAt = this->wallMilliseconds();
  Claim.KeyDate = dateOf(Request.Key);
  Claim.IsTicketed = IsTicketed;
  Claim.CallerAttempt = Request.CallerAttempt;
  return makeOrderRecord(this->Rng.next128(), this->Self,
                         OrderRecordKind::Claim, Claim);
}

std::int64_t OrderDispatcher::wallMilliseconds() const {
  return this->Hooks.WallNow().time_since_epoch().count();
}

Result<std::string> OrderDispatcher::issueTicket(TeamId Team) {
  TimePoint Now = this->Hooks.Tasks.Now();
  this->expireTickets(Now);
  if (this->IsDraining || this->Tickets.size() >= this->Settings.MaxTickets)
    return OutcomeError::Draining;
  OrderTicket Issued{this->Self, this->Rng.next()};
  this->Tickets[Issued] = {Team, Now, false};
  return toKey(Issued);
}

void OrderDispatcher::expireTickets(TimePoint Now) {
  std::erase_if(this->Tickets, [&](const auto &Item) {
    return Now - Item.second.IssuedAt >= this->Settings.TicketLifetime;
  });
}

void OrderDispatcher::markTicketUnused(const std::string &Key) {
  auto Ticket = ticketOfKey(Key);
  if (!Ticket)
    return;
  if (auto Known = this->Tickets.find(*Ticket); Known != this->Tickets.end())
    Known->second.IsUsed = false;
}

bool OrderDispatcher::drain(TimePoint Deadline) {
  this->IsDraining = true;
  return this->Hooks.Tasks.waitUntil(this->Changed, Deadline, [this] {
    return this->CallsInProgress == 0 && this->Running.empty();
  });
}

Result<void> OrderDispatcher::declareEnded(Incarnation Process) {
  return this->Records.submit(makeOrderRecord(this->Rng.next128(), this->Self,
                                              OrderRecordKind::IncarnationEnded,
                                              OrderIncarnationEnded{Process}));
}

Result<void> OrderDispatcher::settle(const OrderSettled &Settlement,
                                     TimePoint Deadline) {
  auto Position = this->Records.submitAndWait(
      makeOrderRecord(this->Rng.next128(), this->Self,
                      OrderRecordKind::OperatorSettled, Settlement),
      Deadline);
  if (!Position)
    return Position.error();
  return success();
}

} // namespace bergamothook
