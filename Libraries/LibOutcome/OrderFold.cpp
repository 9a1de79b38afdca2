#include "LibOutcome/OrderFold.h"

#include "LibOutcome/RecordBody.h"

#include <algorithm>

namespace bergamothook {

namespace {

bool isOpen(OrderState State) {
  return State == OrderState::Claimed || State == OrderState::Unknown;
}

/// \returns the time from which the retention of a key counts.
std::int64_t ageReferenceOf(const OrderEntry &Entry) {
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

OrderFold::OrderFold(OrderFoldLimits Limits) : Limits(Limits) {}

template <typename Body>
Result<std::optional<RequestId>>
OrderFold::applyBody(const StreamRecord &Record,
                     const std::function<void(const Body &)> &Change) {
  BOOST_OUTCOME_TRY(Content, readOrderRecord<Body>(Record));
  Change(Content);
  return std::optional<RequestId>(Content.Request);
}

Result<std::optional<RequestId>> OrderFold::apply(const StreamRecord &Record,
                                                  RecordPosition Position) {
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
  // A later software version may write record kinds that this one does not
  // know.
  return OutcomeError::MalformedRecord;
}

const OrderEntry *OrderFold::find(RequestId Request) const {
  auto Known = this->Entries.find(Request);
  return Known == this->Entries.end() ? nullptr : &Known->second;
}

KeyStatus OrderFold::keyStatusOf(RequestId Request,
                                 std::int64_t KeyDate) const {
  if (this->Entries.contains(Request))
    return KeyStatus::Known;
  if (KeyDate != 0)
    return KeyDate < this->ExpiredBefore ? KeyStatus::TooOld
                                         : KeyStatus::Claimable;
  if (this->HasDiscardedUndatedKeys ||
      this->ExpiredUndatedKeys.contains(Request))
    return KeyStatus::TooOld;
  return KeyStatus::Claimable;
}

bool OrderFold::isSuperseded(RequestId Request,
                             std::uint32_t CallerAttempt) const {
  const OrderEntry *Entry = this->find(Request);
  return Entry != nullptr && Entry->State == OrderState::Released &&
         CallerAttempt != 0 && CallerAttempt < Entry->CallerAttempt;
}

bool OrderFold::isWinner(RequestId Request, RecordId Claim) const {
  const OrderEntry *Entry = this->find(Request);
  return Entry != nullptr && Entry->Claim == Claim &&
         Entry->State == OrderState::Claimed && !Entry->HasClaimantEnded;
}

bool OrderFold::hasEnded(Incarnation Process) const {
  return this->EndedProcesses.contains(Process);
}

std::vector<RequestId> OrderFold::openOrders() const {
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

void OrderFold::applyClaim(const StreamRecord &Record, const OrderClaim &Claim,
                           RecordPosition Position) {
  this->advanceLogTime(Claim.WrittenAt);
  this->expireKeys();
  if (this->RevokedClaims.contains(Record.Id) ||
      this->EndedProcesses.contains(Record.Writer) || !this->canClaim(Claim))
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
    this->KeysByAge.emplace(ageReferenceOf(Entry), Claim.Request);
}

bool OrderFold::canClaim(const OrderClaim &Claim) const {
  const OrderEntry *Entry = this->find(Claim.Request);
  if (Entry == nullptr)
    return this->keyStatusOf(Claim.Request, Claim.KeyDate) ==
           KeyStatus::Claimable;
  return Entry->State == OrderState::Released &&
         Entry->BodyHash == Claim.BodyHash &&
         !this->isSuperseded(Claim.Request, Claim.CallerAttempt);
}

OrderEntry *OrderFold::findClaim(RequestId Request, RecordId Claim,
                                 Incarnation Writer) {
  auto Known = this->Entries.find(Request);
  if (Known == this->Entries.end() || Known->second.Claim != Claim ||
      Known->second.Claimant != Writer)
    return nullptr;
  return &Known->second;
}

void OrderFold::applyResult(Incarnation Writer, const OrderResult &Answer) {
  OrderEntry *Entry = this->findClaim(Answer.Request, Answer.Claim, Writer);
  // The target's response is authoritative, whatever state was assumed before.
  if (Entry == nullptr || Entry->State == OrderState::Done)
    return;
  Entry->State = OrderState::Done;
  Entry->Target = Answer.Target;
  Entry->Status = Answer.Status;
  Entry->IsResultWhole = Answer.IsWhole;
  Entry->ContentType = Answer.ContentType;
  Entry->Body = Answer.Body;
}

void OrderFold::applyNotRun(Incarnation Writer, const OrderNotRun &Release) {
  OrderEntry *Entry = this->findClaim(Release.Request, Release.Claim, Writer);
  // Keeps duplicates of the claim, and a claim that reaches the log late, from
  // winning.
  this->RevokedClaims.emplace(Release.Claim, this->LogTime);
  if (Entry == nullptr || !isOpen(Entry->State))
    return;
  Entry->State = OrderState::Released;
  ++Entry->Released;
}

void OrderFold::applyUnknown(Incarnation Writer, const OrderUnknown &Unknown) {
  OrderEntry *Entry = this->findClaim(Unknown.Request, Unknown.Claim, Writer);
  if (Entry != nullptr && Entry->State == OrderState::Claimed)
    Entry->State = OrderState::Unknown;
}

void OrderFold::applyEnded(const OrderIncarnationEnded &End) {
  if (!this->EndedProcesses.emplace(End.Ended, this->LogTime).second)
    return;
  for (auto &[Request, Entry] : this->Entries) {
    if (Entry.Claimant != End.Ended)
      continue;
    Entry.HasClaimantEnded = true;
    if (Entry.State == OrderState::Claimed)
      Entry.State = OrderState::Unknown;
  }
}

void OrderFold::applySettled(const OrderSettled &Settled) {
  auto Known = this->Entries.find(Settled.Request);
  if (Known == this->Entries.end() || !isOpen(Known->second.State))
    return;
  OrderEntry &Entry = Known->second;
  Entry.State =
      Settled.HasRun ? OrderState::SettledDone : OrderState::SettledNotRun;
  Entry.Operator = Settled.Operator;
  Entry.Note = Settled.Note;
}

void OrderFold::advanceLogTime(std::int64_t WrittenAt) {
  std::int64_t Latest = this->LogTime + this->Limits.MaxLogTimeAdvance.count();
  if (this->LogTime != 0)
    WrittenAt = std::min(WrittenAt, Latest);
  this->LogTime = std::max(this->LogTime, WrittenAt);
}

void OrderFold::expireKeys() {
  this->ExpiredBefore = std::max(
      this->ExpiredBefore, this->LogTime - this->Limits.KeyRetention.count());
  while (!this->KeysByAge.empty() &&
         this->KeysByAge.begin()->first < this->ExpiredBefore) {
    RequestId Request = this->KeysByAge.begin()->second;
    this->KeysByAge.erase(this->KeysByAge.begin());
    if (this->Entries[Request].KeyDate == 0) {
      // The key carries no date, so its hash must be kept. Once too many hashes
      // have accumulated, no unknown undated key can be accepted.
      if (this->ExpiredUndatedKeys.size() < this->Limits.MaxExpiredUndatedKeys)
        this->ExpiredUndatedKeys.insert(Request);
      else
        this->HasDiscardedUndatedKeys = true;
    }
    this->Entries.erase(Request);
  }
  // Time 0 marks a record from before the first claim, when the log time was
  // not known.
  auto IsOld = [&](const auto &Item) {
    return Item.second != 0 && Item.second < this->ExpiredBefore;
  };
  std::erase_if(this->RevokedClaims, IsOld);
  std::erase_if(this->EndedProcesses, IsOld);
}

namespace {

/// The state in serialization order.
struct OrderSnapshot {
  std::map<RequestId, OrderEntry> Entries;
  std::map<RecordId, std::int64_t> RevokedClaims;
  std::map<Incarnation, std::int64_t> EndedProcesses;
  std::set<RequestId> ExpiredUndatedKeys;
  bool HasDiscardedUndatedKeys = false;
  std::int64_t LogTime = 0;
  std::int64_t ExpiredBefore = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Entries, this->RevokedClaims, this->EndedProcesses,
       this->ExpiredUndatedKeys, this->HasDiscardedUndatedKeys, this->LogTime,
       this->ExpiredBefore);
  }
};

} // namespace

std::string OrderFold::snapshot() const {
  OrderSnapshot Contents;
  Contents.Entries.insert(this->Entries.begin(), this->Entries.end());
  Contents.RevokedClaims = this->RevokedClaims;
  Contents.EndedProcesses = this->EndedProcesses;
  Contents.ExpiredUndatedKeys = this->ExpiredUndatedKeys;
  Contents.HasDiscardedUndatedKeys = this->HasDiscardedUndatedKeys;
  Contents.LogTime = this->LogTime;
  Contents.ExpiredBefore = this->ExpiredBefore;
  return detail::encodeBody(Contents);
}

Result<void> OrderFold::restore(std::string_view Snapshot) {
  BOOST_OUTCOME_TRY(Contents, detail::decodeBody<OrderSnapshot>(Snapshot));
  this->Entries.clear();
  this->KeysByAge.clear();
  for (auto &[Request, Entry] : Contents.Entries) {
    this->KeysByAge.emplace(ageReferenceOf(Entry), Request);
    this->Entries.emplace(Request, std::move(Entry));
  }
  this->RevokedClaims = std::move(Contents.RevokedClaims);
  this->EndedProcesses = std::move(Contents.EndedProcesses);
  this->ExpiredUndatedKeys = std::move(Contents.ExpiredUndatedKeys);
  this->HasDiscardedUndatedKeys = Contents.HasDiscardedUndatedKeys;
  this->LogTime = Contents.LogTime;
  this->ExpiredBefore = Contents.ExpiredBefore;
  return success();
}

} // namespace bergamothook
