#include "LibOutcome/OrderStateMachine.h"

#include "LibOutcome/RecordBody.h"

#include <algorithm>

namespace bergamothook {

namespace {

bool isOpen(OrderState State) {
  return State == OrderState::Claimed || State == OrderState::Unknown;
}

/// The time that the memory of a key counts from.
std::int64_t ageOf(const OrderEntry &Entry) {
  return Entry.KeyDate != 0 ? Entry.KeyDate : Entry.ClaimedAt;
}

} // namespace

const char *nameOf(OrderState Value) {
  switch (Value) {
  case OrderState::Claimed:
    return "claimed";
  case OrderState::Done:
    return "done";
  case OrderState::Released:
    return "released";
  case OrderState::Unknown:
    return "unknown";
  case OrderState::SettledNotRun:
    return "settled as not run";
  case OrderState::SettledDone:
    return "settled as run";
  }
  return "unknown";
}

OrderStateMachine::OrderStateMachine(OrderStateMachineLimits Limits)
    : Limits(Limits) {}

template <typename Body>
Result<std::optional<RequestId>>
OrderStateMachine::applyBody(const StreamRecord &Record,
                             const std::function<void(const Body &)> &Change) {
  BOOST_OUTCOME_TRY(Content, readOrderRecord<Body>(Record));
  Change(Content);
  return std::optional<RequestId>(Content.Request);
}

Result<std::optional<RequestId>>
OrderStateMachine::apply(const StreamRecord &Record, RecordPosition Position) {
  switch (static_cast<OrderRecordKind>(Record.Kind)) {
  case OrderRecordKind::Claim:
    return this->applyBody<OrderClaim>(Record, [&](const OrderClaim &Claim) {
      this->applyClaim(Record, Claim, Position);
    });
  case OrderRecordKind::Moved:
    return this->applyBody<OrderMoved>(Record, [&](const OrderMoved &Move) {
      if (auto *Entry =
              this->findClaim(Move.Request, Move.Claim, Record.Writer))
        Entry->Target = Move.Target;
    });
  case OrderRecordKind::Result:
    return this->applyBody<OrderResult>(Record, [&](const OrderResult &Answer) {
      this->applyResult(Record.Writer, Answer);
    });
  case OrderRecordKind::NotRun:
    return this->applyBody<OrderNotRun>(Record, [&](const OrderNotRun &Body) {
      this->applyNotRun(Record.Writer, Body);
    });
  case OrderRecordKind::Unknown:
    return this->applyBody<OrderUnknown>(Record, [&](const OrderUnknown &Body) {
      this->applyUnknown(Record.Writer, Body);
    });
  case OrderRecordKind::IncarnationEnded: {
    BOOST_OUTCOME_TRY(End, readOrderRecord<OrderIncarnationEnded>(Record));
    this->applyEnded(End);
    return std::optional<RequestId>();
  }
  case OrderRecordKind::OperatorSettled:
    return this->applyBody<OrderSettled>(
        Record, [&](const OrderSettled &Body) { this->applySettled(Body); });
  }
  // A later release may write kinds that this one does not know.
  return OutcomeError::MalformedRecord;
}

const OrderEntry *OrderStateMachine::find(RequestId Request) const {
  auto Known = this->Entries.find(Request);
  return Known == this->Entries.end() ? nullptr : &Known->second;
}

KeyVerdict OrderStateMachine::verdictOf(RequestId Request,
                                        std::int64_t KeyDate) const {
  if (this->Entries.contains(Request))
    return KeyVerdict::Known;
  if (KeyDate != 0)
    return KeyDate < this->ForgottenBelow ? KeyVerdict::TooOld
                                          : KeyVerdict::Claimable;
  if (this->HasForgottenUndated || this->Forgotten.contains(Request))
    return KeyVerdict::TooOld;
  return KeyVerdict::Claimable;
}

bool OrderStateMachine::isSuperseded(RequestId Request,
                                     std::uint32_t CallerAttempt) const {
  const OrderEntry *Entry = this->find(Request);
  return Entry != nullptr && Entry->State == OrderState::Released &&
         CallerAttempt != 0 && CallerAttempt < Entry->CallerAttempt;
}

bool OrderStateMachine::isWinner(RequestId Request, RecordId Claim) const {
  const OrderEntry *Entry = this->find(Request);
  return Entry != nullptr && Entry->Claim == Claim &&
         Entry->State == OrderState::Claimed && !Entry->HasClaimantEnded;
}

bool OrderStateMachine::hasEnded(Incarnation Process) const {
  return this->Ended.contains(Process);
}

std::vector<RequestId> OrderStateMachine::openOrders() const {
  std::vector<std::pair<RecordPosition, RequestId>> Open;
  for (const auto &[Request, Entry] : this->Entries)
    if (isOpen(Entry.State))
      Open.emplace_back(Entry.Position, Request);
  std::sort(Open.begin(), Open.end());
  std::vector<RequestId> Ordered;
  for (const auto &[Position, Request] : Open)
    Ordered.push_back(Request);
  return Ordered;
}

void OrderStateMachine::applyClaim(const StreamRecord &Record,
                                   const OrderClaim &Claim,
                                   RecordPosition Position) {
  this->moveTime(Claim.WrittenAt);
  this->forgetOld();
  if (this->VoidClaims.contains(Record.Id) ||
      this->Ended.contains(Record.Writer) || !this->canClaim(Claim))
    return;
  OrderEntry &Entry = this->Entries[Claim.Request];
  std::uint32_t Released = Entry.Released;
  bool IsNew = Entry.Claim == RecordId{};
  Entry = OrderEntry{};
  Entry.Claim = Record.Id;
  Entry.Claimant = Record.Writer;
  Entry.Position = Position;
  Entry.Team = Claim.Team;
  Entry.BodyHash = Claim.BodyHash;
  Entry.Target = Claim.Target;
  Entry.ClaimedAt = this->LogTime;
  Entry.KeyDate = Claim.KeyDate;
  Entry.IsTicketed = Claim.IsTicketed;
  Entry.CallerAttempt = Claim.CallerAttempt;
  Entry.Released = Released;
  if (IsNew)
    this->ByAge.emplace(ageOf(Entry), Claim.Request);
}

bool OrderStateMachine::canClaim(const OrderClaim &Claim) const {
  const OrderEntry *Entry = this->find(Claim.Request);
  if (Entry == nullptr)
    return this->verdictOf(Claim.Request, Claim.KeyDate) ==
           KeyVerdict::Claimable;
  return Entry->State == OrderState::Released &&
         Entry->BodyHash == Claim.BodyHash &&
         !this->isSuperseded(Claim.Request, Claim.CallerAttempt);
}

OrderEntry *OrderStateMachine::findClaim(RequestId Request, RecordId Claim,
                                         Incarnation Writer) {
  auto Known = this->Entries.find(Request);
  if (Known == this->Entries.end() || Known->second.Claim != Claim ||
      Known->second.Claimant != Writer)
    return nullptr;
  return &Known->second;
}

void OrderStateMachine::applyResult(Incarnation Writer,
                                    const OrderResult &Answer) {
  OrderEntry *Entry = this->findClaim(Answer.Request, Answer.Claim, Writer);
  // The answer of the target is the truth, whatever was assumed before.
  if (Entry == nullptr || Entry->State == OrderState::Done)
    return;
  Entry->State = OrderState::Done;
  Entry->Target = Answer.Target;
  Entry->Status = Answer.Status;
  Entry->IsResultWhole = Answer.IsWhole;
  Entry->ContentType = Answer.ContentType;
  Entry->Body = Answer.Body;
}

void OrderStateMachine::applyNotRun(Incarnation Writer,
                                    const OrderNotRun &Release) {
  OrderEntry *Entry = this->findClaim(Release.Request, Release.Claim, Writer);
  // Keeps a second copy of the claim, or one that lands late, from winning.
  this->VoidClaims.emplace(Release.Claim, this->LogTime);
  if (Entry == nullptr || !isOpen(Entry->State))
    return;
  Entry->State = OrderState::Released;
  ++Entry->Released;
}

void OrderStateMachine::applyUnknown(Incarnation Writer,
                                     const OrderUnknown &Loss) {
  OrderEntry *Entry = this->findClaim(Loss.Request, Loss.Claim, Writer);
  if (Entry != nullptr && Entry->State == OrderState::Claimed)
    Entry->State = OrderState::Unknown;
}

void OrderStateMachine::applyEnded(const OrderIncarnationEnded &End) {
  if (!this->Ended.emplace(End.Ended, this->LogTime).second)
    return;
  for (auto &[Request, Entry] : this->Entries) {
    if (Entry.Claimant != End.Ended)
      continue;
    Entry.HasClaimantEnded = true;
    if (Entry.State == OrderState::Claimed)
      Entry.State = OrderState::Unknown;
  }
}

void OrderStateMachine::applySettled(const OrderSettled &Settled) {
  auto Known = this->Entries.find(Settled.Request);
  if (Known == this->Entries.end() || !isOpen(Known->second.State))
    return;
  OrderEntry &Entry = Known->second;
  Entry.State =
      Settled.HasRun ? OrderState::SettledDone : OrderState::SettledNotRun;
  Entry.Operator = Settled.Operator;
  Entry.Note = Settled.Note;
}

void OrderStateMachine::moveTime(std::int64_t WrittenAt) {
  std::int64_t Furthest = this->LogTime + this->Limits.MaxClockStep.count();
  if (this->LogTime != 0)
    WrittenAt = std::min(WrittenAt, Furthest);
  this->LogTime = std::max(this->LogTime, WrittenAt);
}

void OrderStateMachine::forgetOld() {
  this->ForgottenBelow = std::max(this->ForgottenBelow,
                                  this->LogTime - this->Limits.Horizon.count());
  while (!this->ByAge.empty() &&
         this->ByAge.begin()->first < this->ForgottenBelow) {
    RequestId Request = this->ByAge.begin()->second;
    this->ByAge.erase(this->ByAge.begin());
    if (this->Entries[Request].KeyDate == 0) {
      // The key says nothing of its age, so its hash must stay; when too many
      // have gathered, no unknown key without a date can be trusted.
      if (this->Forgotten.size() < this->Limits.MaxForgottenKeys)
        this->Forgotten.insert(Request);
      else
        this->HasForgottenUndated = true;
    }
    this->Entries.erase(Request);
  }
  // The time 0 is that of a record before any claim told the time.
  auto IsOld = [&](const auto &Item) {
    return Item.second != 0 && Item.second < this->ForgottenBelow;
  };
  std::erase_if(this->VoidClaims, IsOld);
  std::erase_if(this->Ended, IsOld);
}

namespace {

/// The state of a fold in the order in which it is written.
struct OrderSnapshot {
  std::map<RequestId, OrderEntry> Entries;
  std::map<RecordId, std::int64_t> VoidClaims;
  std::map<Incarnation, std::int64_t> Ended;
  std::set<RequestId> Forgotten;
  bool HasForgottenUndated = false;
  std::int64_t LogTime = 0;
  std::int64_t ForgottenBelow = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Entries, this->VoidClaims, this->Ended, this->Forgotten,
       this->HasForgottenUndated, this->LogTime, this->ForgottenBelow);
  }
};

} // namespace

std::string OrderStateMachine::snapshot() const {
  OrderSnapshot Kept;
  Kept.Entries.insert(this->Entries.begin(), this->Entries.end());
  Kept.VoidClaims = this->VoidClaims;
  Kept.Ended = this->Ended;
  Kept.Forgotten = this->Forgotten;
  Kept.HasForgottenUndated = this->HasForgottenUndated;
  Kept.LogTime = this->LogTime;
  Kept.ForgottenBelow = this->ForgottenBelow;
  return detail::encodeBody(Kept);
}

Result<void> OrderStateMachine::restore(std::string_view Snapshot) {
  BOOST_OUTCOME_TRY(Kept, detail::decodeBody<OrderSnapshot>(Snapshot));
  this->Entries.clear();
  this->ByAge.clear();
  for (auto &[Request, Entry] : Kept.Entries) {
    this->ByAge.emplace(ageOf(Entry), Request);
    this->Entries.emplace(Request, std::move(Entry));
  }
  this->VoidClaims = std::move(Kept.VoidClaims);
  this->Ended = std::move(Kept.Ended);
  this->Forgotten = std::move(Kept.Forgotten);
  this->HasForgottenUndated = Kept.HasForgottenUndated;
  this->LogTime = Kept.LogTime;
  this->ForgottenBelow = Kept.ForgottenBelow;
  return success();
}

} // namespace bergamothook
