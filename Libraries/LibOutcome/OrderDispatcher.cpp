#include "LibOutcome/OrderDispatcher.h"

#include <algorithm>

namespace bergamothook {

namespace {

std::int64_t dateOf(const std::string &Key) {
  auto Date = dateOfKey(Key);
  return Date ? Date->time_since_epoch().count() : 0;
}

Hash128 bodyHashOf(const OrderRequest &Request) {
  std::string Whole = Request.Service + '\0' + Request.Method + '\0' +
                      Request.Path + '\0' + Request.Body;
  return hash128(Whole);
}

/// A number that grows with each claim in log order.
std::uint64_t fencingNumberOf(RecordPosition Position) {
  constexpr unsigned IndexBits = 20;
  return ((Position.At.Value + 1) << IndexBits) + Position.Index;
}

} // namespace

OrderDispatcher::OrderDispatcher(Incarnation Self, StreamAppender &Records,
                                 OrderStateMachineLimits Memory,
                                 OrderDispatcherSettings Settings,
                                 OrderDispatcherHooks Hooks, std::uint64_t Seed)
    : Self(Self), Records(Records), Settings(Settings), Hooks(std::move(Hooks)),
      Fold(Memory), Dice(Seed) {}

void OrderDispatcher::apply(const StreamRecord &Record,
                            RecordPosition Position) {
  auto Request = this->Fold.apply(Record, Position);
  if (Request && Request.value()) {
    const OrderEntry *Entry = this->Fold.find(*Request.value());
    if (Entry != nullptr && Entry->State != OrderState::Claimed)
      this->Ended.erase(*Request.value());
  }
  this->Records.confirm(Record.Id, Position);
  this->Changed.notify();
}

OrderAnswer OrderDispatcher::run(const OrderRequest &Request) {
  ++this->Accepted;
  std::optional<OrderAnswer> Given;
  // A claim that another process releases while this task waits for it frees
  // the key, so the order is claimed anew.
  while (!Given)
    Given = this->runOnce(Request);
  --this->Accepted;
  this->Changed.notify();
  return *Given;
}

std::optional<OrderAnswer>
OrderDispatcher::runOnce(const OrderRequest &Request) {
  RequestId Id = requestIdOf(Request.Team, Request.Key);
  Hash128 BodyHash = bodyHashOf(Request);
  if (this->present(Id, BodyHash) || this->Running.contains(Id))
    return this->waitForEnd(Id, BodyHash, Request.Deadline);
  if (this->Fold.isSuperseded(Id, Request.CallerAttempt))
    return this->notRun(OutcomeError::Superseded, Duration::zero());
  if (auto Ticket = ticketOfKey(Request.Key))
    return this->runTicketed(Request, Id, *Ticket);
  if (auto Refusal = this->refuseKey(Request, Id))
    return Refusal;
  return this->runClaimed(Request, Id);
}

std::optional<OrderAnswer>
OrderDispatcher::refuseKey(const OrderRequest &Request, RequestId Id) const {
  std::int64_t Date = dateOf(Request.Key);
  std::int64_t Ahead = this->Settings.MaxKeyAhead.count();
  OrderAnswer Refusal;
  Refusal.IsRetrySafe = false;
  if (Date > this->wallMilliseconds() + Ahead)
    Refusal.Reason = OutcomeError::KeyFromFuture;
  if (this->Fold.verdictOf(Id, Date) == KeyVerdict::TooOld)
    Refusal.Reason = OutcomeError::KeyTooOld;
  if (Refusal.Reason)
    return Refusal;
  if (this->IsDraining || this->Hooks.Tasks.Now() >= Request.Deadline)
    return this->refuseUnread(Request);
  return std::nullopt;
}

std::optional<OrderAnswer>
OrderDispatcher::runClaimed(const OrderRequest &Request, RequestId Id) {
  TimePoint Now = this->Hooks.Tasks.Now();
  auto Target = this->Hooks.ChooseTarget(Request, {}, Now);
  // The claim is made even without a target: only by winning it does this host
  // know that no earlier attempt runs elsewhere.
  TargetId First = Target ? Target.value().Id : TargetId{};
  StreamRecord Claim = this->makeClaim(Request, Id, First, false);
  TimePoint Limit =
      std::min(Request.Deadline, Now + this->Settings.ClaimTimeout);
  auto Position = this->Records.submitAndWait(Claim, Limit);
  if (!Position) {
    // The claim may still land, and must not hold the key then.
    this->release(Id, Claim.Id);
    return this->refuseUnread(Request);
  }
  const OrderEntry *Entry = this->Fold.find(Id);
  if (Entry == nullptr || Entry->Claim != Claim.Id)
    return this->waitForEnd(Id, bodyHashOf(Request), Request.Deadline);
  if (!Target)
    return this->giveUp(Id, Claim.Id, OutcomeError::NoTarget);
  if (!this->Fold.isWinner(Id, Claim.Id))
    return this->giveUp(Id, Claim.Id, OutcomeError::LogUnavailable);
  if (this->Hooks.Tasks.Now() >= Request.Deadline)
    return this->giveUp(Id, Claim.Id, OutcomeError::DeadlinePassed);
  this->dispatch({Request, Id, Claim.Id, Target.value(),
                  fencingNumberOf(Position.value())});
  return this->waitForEnd(Id, bodyHashOf(Request), Request.Deadline);
}

OrderAnswer OrderDispatcher::giveUp(RequestId Id, RecordId Claim,
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
  // Nobody but this process may dispatch the ticket, and here it is marked as
  // used before anything is sent, so the claim need not be waited for.
  Known->second.IsUsed = true;
  StreamRecord Claim = this->makeClaim(Request, Id, Target.value().Id, true);
  if (!this->Records.submit(Claim)) {
    Known->second.IsUsed = false;
    return this->notRun(OutcomeError::LogUnavailable,
                        this->Settings.RetryAfterOutage);
  }
  this->dispatch({Request, Id, Claim.Id, Target.value(), 0});
  return this->waitForEnd(Id, bodyHashOf(Request), Request.Deadline);
}

OrderAnswer OrderDispatcher::refuseUnread(const OrderRequest &Request) const {
  OrderAnswer Refusal;
  Refusal.Reason =
      this->IsDraining ? OutcomeError::Draining : OutcomeError::LogUnavailable;
  Refusal.RetryAfter = this->Settings.RetryAfterOutage;
  // This host sent nothing. Only the first attempt of a key is thereby known
  // not to have run; a later one may have run through another host.
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
OrderDispatcher::answerFromFold(RequestId Id, Hash128 BodyHash) const {
  const OrderEntry *Entry = this->Fold.find(Id);
  if (Entry == nullptr)
    return std::nullopt;
  OrderAnswer Given;
  Given.Claimant = Entry->Claimant;
  Given.IsRecorded = true;
  if (Entry->BodyHash != BodyHash) {
    // This body never ran under the key; the other one may have.
    Given.Verdict = Outcome::NotRun;
    Given.Reason = OutcomeError::KeyReused;
    Given.IsRetrySafe = false;
    return Given;
  }
  switch (Entry->State) {
  case OrderState::Released:
    return std::nullopt;
  case OrderState::Claimed:
    Given.Verdict = Outcome::InProgress;
    Given.Reason = OutcomeError::StillRunning;
    Given.RetryAfter = this->Settings.RetryAfterRunning;
    return Given;
  case OrderState::Unknown:
    Given.Reason = OutcomeError::ResultUnknown;
    Given.RetryAfter = this->Settings.RetryAfterOutage;
    return Given;
  case OrderState::SettledNotRun:
    Given.Verdict = Outcome::NotRun;
    Given.Reason = OutcomeError::SettledAsNotRun;
    Given.IsRetrySafe = false;
    return Given;
  case OrderState::SettledDone:
    Given.Verdict = Outcome::Done;
    Given.Reason = OutcomeError::ResultNotKept;
    return Given;
  case OrderState::Done:
    break;
  }
  Given.Verdict = Outcome::Done;
  Given.Answer = {Entry->Status, Entry->ContentType, Entry->Body};
  if (!Entry->IsResultWhole)
    Given.Reason = OutcomeError::ResultNotKept;
  return Given;
}

std::optional<OrderAnswer>
OrderDispatcher::answerFromLocal(RequestId Id, Hash128 BodyHash) const {
  auto Known = this->Ended.find(Id);
  if (Known == this->Ended.end())
    return std::nullopt;
  const LocalEnd &End = Known->second;
  if (End.BodyHash != BodyHash) {
    OrderAnswer Refusal = this->notRun(OutcomeError::KeyReused, {});
    Refusal.IsRetrySafe = false;
    return Refusal;
  }
  OrderAnswer Given;
  Given.Claimant = this->Self;
  Given.Verdict = End.Verdict;
  Given.Reason = End.Reason;
  Given.Answer = End.Answer;
  if (End.Verdict != Outcome::Done)
    Given.RetryAfter = this->Settings.RetryAfterRunning;
  return Given;
}

std::optional<OrderAnswer> OrderDispatcher::present(RequestId Id,
                                                    Hash128 BodyHash) const {
  if (auto Local = this->answerFromLocal(Id, BodyHash))
    return Local;
  return this->answerFromFold(Id, BodyHash);
}

std::optional<OrderAnswer> OrderDispatcher::waitForEnd(RequestId Id,
                                                       Hash128 BodyHash,
                                                       TimePoint Deadline) {
  this->Hooks.Tasks.waitUntil(this->Changed, Deadline, [&] {
    auto Now = this->present(Id, BodyHash);
    return Now ? Now->Verdict != Outcome::InProgress
               : !this->Running.contains(Id);
  });
  auto Given = this->present(Id, BodyHash);
  if (Given || !this->Running.contains(Id))
    return Given;
  OrderAnswer Waiting;
  Waiting.Verdict = Outcome::InProgress;
  Waiting.Reason = OutcomeError::StillRunning;
  Waiting.RetryAfter = this->Settings.RetryAfterRunning;
  Waiting.Claimant = this->Self;
  return Waiting;
}

void OrderDispatcher::dispatch(Dispatch Order) {
  this->Running.emplace(Order.Id, Order.Claim);
  // A task of its own goes on when the caller hangs up or its deadline passes,
  // so that a late answer is recorded for the retry.
  this->Hooks.Tasks.Spawn([this, Order = std::move(Order)]() mutable {
    LocalEnd End = this->callTargets(Order);
    End.BodyHash = bodyHashOf(Order.Request);
    this->recordEnd(Order, End);
    if (End.Verdict == Outcome::NotRun)
      this->reopenTicket(Order.Request.Key);
    this->Ended[Order.Id] = std::move(End);
    this->Running.erase(Order.Id);
    this->Changed.notify();
  });
}

OrderDispatcher::LocalEnd OrderDispatcher::callTargets(Dispatch &Order) {
  std::vector<TargetId> Tried;
  LocalEnd End;
  for (std::uint32_t Attempt = 1;; ++Attempt) {
    auto Answer = this->callOnce(Order, AttemptNumber{Attempt});
    if (Answer) {
      End.Verdict = Outcome::Done;
      End.Answer = std::move(Answer.value());
      return End;
    }
    End.Reason = Answer.error();
    if (!provesNotRun(Answer.error()))
      return End;
    End.Verdict = Outcome::NotRun;
    Tried.push_back(Order.Target.Id);
    TimePoint Now = this->Hooks.Tasks.Now();
    if (Tried.size() >= this->Settings.MaxTargets ||
        Answer.error() == TargetError::BadRequest ||
        Now >= Order.Request.Deadline)
      return End;
    auto Next = this->Hooks.ChooseTarget(Order.Request, Tried, Now);
    if (!Next)
      return End;
    Order.Target = Next.value();
    this->record(OrderRecordKind::Moved,
                 OrderMoved{Order.Id, Order.Claim, Order.Target.Id});
    End.Verdict = Outcome::Unknown;
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

void OrderDispatcher::recordEnd(const Dispatch &Order, const LocalEnd &End) {
  if (End.Verdict == Outcome::NotRun) {
    this->release(Order.Id, Order.Claim);
    return;
  }
  if (End.Verdict == Outcome::Unknown) {
    this->record(OrderRecordKind::Unknown, OrderUnknown{Order.Id, Order.Claim});
    return;
  }
  OrderResult Kept;
  Kept.Request = Order.Id;
  Kept.Claim = Order.Claim;
  Kept.Target = Order.Target.Id;
  Kept.Status = End.Answer.Status;
  Kept.ContentType = End.Answer.ContentType;
  Kept.IsWhole = End.Answer.Body.size() <= this->Settings.MaxKeptBodyBytes;
  if (Kept.IsWhole)
    Kept.Body = End.Answer.Body;
  this->record(OrderRecordKind::Result, Kept);
}

void OrderDispatcher::release(RequestId Id, RecordId Claim) {
  this->record(OrderRecordKind::NotRun, OrderNotRun{Id, Claim});
}

template <typename Body>
void OrderDispatcher::record(OrderRecordKind Kind, const Body &Content) {
  // A full queue loses the record: retries are then answered as in progress or
  // unknown, which is safe.
  (void)this->Records.submit(
      makeOrderRecord(this->Dice.next128(), this->Self, Kind, Content));
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
  return makeOrderRecord(this->Dice.next128(), this->Self,
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
  OrderTicket Issued{this->Self, this->Dice.next()};
  this->Tickets[Issued] = {Team, Now, false};
  return toKey(Issued);
}

void OrderDispatcher::expireTickets(TimePoint Now) {
  std::erase_if(this->Tickets, [&](const auto &Item) {
    return Now - Item.second.IssuedAt >= this->Settings.TicketLifetime;
  });
}

void OrderDispatcher::reopenTicket(const std::string &Key) {
  auto Ticket = ticketOfKey(Key);
  if (!Ticket)
    return;
  if (auto Known = this->Tickets.find(*Ticket); Known != this->Tickets.end())
    Known->second.IsUsed = false;
}

bool OrderDispatcher::drain(TimePoint Deadline) {
  this->IsDraining = true;
  return this->Hooks.Tasks.waitUntil(this->Changed, Deadline, [this] {
    return this->Accepted == 0 && this->Running.empty();
  });
}

Result<void> OrderDispatcher::declareEnded(Incarnation Gone) {
  return this->Records.submit(makeOrderRecord(this->Dice.next128(), this->Self,
                                              OrderRecordKind::IncarnationEnded,
                                              OrderIncarnationEnded{Gone}));
}

Result<void> OrderDispatcher::settle(const OrderSettled &Word,
                                     TimePoint Deadline) {
  auto Position = this->Records.submitAndWait(
      makeOrderRecord(this->Dice.next128(), this->Self,
                      OrderRecordKind::OperatorSettled, Word),
      Deadline);
  if (!Position)
    return Position.error();
  return success();
}

} // namespace bergamothook
