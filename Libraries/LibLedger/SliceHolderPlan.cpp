#include "LibLedger/SliceHolder.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// A slice is refilled when it lacks more than 1 / RefillThresholdDivisor of
/// its target, so that it is nearly full when a log outage begins.
constexpr TokenCount RefillThresholdDivisor = 8;
/// A refill of less than 1 / MinRefillDivisor of the target is not worth a
/// record.
constexpr TokenCount MinRefillDivisor = 16;
/// A slice is too large when it has more than this multiple of its target.
constexpr TokenCount ExcessFactor = 3;
/// Another holder's demand takes at most half of a slice at once, unless the
/// slice is smaller than this multiple of its largest reservation.
constexpr TokenCount LargeSliceReservations = 4;
/// A return covers up to this many demands of the same size, to save appends.
constexpr TokenCount DemandsPerReturn = 4;

constexpr Duration NoteResendInterval = std::chrono::milliseconds(300);
constexpr std::size_t MaxNotesPerResend = 512;

} // namespace

void SliceHolder::planGrants(TimePoint Now) {
  if (this->IsFenced)
    return;
  for (auto &[Team, LocalSlice] : this->Slices)
    this->plan(Team, LocalSlice, Now);
  for (auto &[Id, Open] : this->Reservations)
    if (Open.IsSettling && !Open.IsQueued)
      this->queueSettlement(Id);
  if (Now >= this->NextNoteResend) {
    this->NextNoteResend = Now + NoteResendInterval;
    this->resendNotes();
  }
  this->planEpoch(Now);
  if (this->IsStopping)
    this->queueShutdownRecord();
}

void SliceHolder::plan(TeamId Team, Slice &LocalSlice, TimePoint Now) {
  bool IsIdle =
      LocalSlice.Sequence == 0 && LocalSlice.WaitingReservations.empty();
  if (this->IsFenced || LocalSlice.InFlight != Operation::None)
    return;
  if (this->IsStopping) {
    this->planStop(Team, LocalSlice);
    return;
  }
  if (IsIdle && !LocalSlice.IsKeptWarm)
    return;
  if (!this->Fold.isKnown(Team) || this->Fold.isClosed(Team))
    return;
  std::erase_if(LocalSlice.WaitingReservations,
                [&](const auto &Entry) { return Entry.second.Until < Now; });
  this->updateRate(LocalSlice, 0, Now);
  TokenCount Target = this->Policy.target(LocalSlice.Rate, LocalSlice.Reserved,
                                          this->Fold.unallocated(Team));
  bool IsDone = this->planWaitingReservations(Team, LocalSlice, Target, Now) ||
                this->planReturn(Team, LocalSlice) ||
                this->planWitness(Team, LocalSlice) ||
                this->planRefill(Team, LocalSlice, Target);
  if (!IsDone)
    this->planExcess(Team, LocalSlice, Target, Now);
}

bool SliceHolder::planWaitingReservations(TeamId Team, Slice &LocalSlice,
                                          TokenCount Target, TimePoint Now) {
  auto Found = this->Fold.slice(Team, this->Self);
  bool HasDemand = Found && Found.value().Demand != 0;
  TokenCount Sum = 0;
  TokenCount SmallestWaiting = 0;
  for (const auto &[Request, Waiting] : LocalSlice.WaitingReservations) {
    Sum += Waiting.Tokens;
    if (Waiting.Tokens > LocalSlice.Available)
      SmallestWaiting = SmallestWaiting == 0
                            ? Waiting.Tokens
                            : std::min(SmallestWaiting, Waiting.Tokens);
  }
  if (SmallestWaiting == 0) {
    if (HasDemand)
      this->requestGrant(Team, LocalSlice, 0, 0);
    return HasDemand;
  }
  if (HasDemand && Now < LocalSlice.LastDemand + this->Policy.DemandInterval)
    return false;
  LocalSlice.LastDemand = Now;
  TokenCount Refill =
      std::min(Target, this->Policy.maxRefill(this->Fold.unallocated(Team)));
  TokenCount Tokens = std::max(Sum, Refill) - LocalSlice.Available;
  this->requestGrant(Team, LocalSlice, Tokens,
                     SmallestWaiting - LocalSlice.Available);
  return true;
}

bool SliceHolder::planReturn(TeamId Team, Slice &LocalSlice) {
  if (!LocalSlice.IsReturnRequested || !this->Fold.hasDemand(Team))
    return false;
  LocalSlice.IsReturnRequested = false;
  auto View = this->Fold.view(Team);
  TokenCount Demanded = 0;
  for (const auto &Other : View.value().Slices)
    if (Other.Holder != this->Self)
      Demanded = std::max(Demanded, Other.Demand);
  TokenCount Shortfall = Demanded - View.value().Unallocated;
  bool IsLarge = LocalSlice.Available >
                 LocalSlice.LargestReservation * LargeSliceReservations;
  TokenCount Spare = IsLarge ? LocalSlice.Available / 2 : LocalSlice.Available;
  TokenCount Returned = std::min(Spare, Shortfall * DemandsPerReturn);
  if (Returned <= 0)
    return false;
  this->returnTokens(Team, LocalSlice, Returned);
  return true;
}

bool SliceHolder::planRefill(TeamId Team, Slice &LocalSlice,
                             TokenCount Target) {
  if (LocalSlice.Available >= Target - Target / RefillThresholdDivisor ||
      this->Fold.hasDemand(Team))
    return false;
  TokenCount Unallocated = this->Fold.unallocated(Team);
  TokenCount Tokens = std::min(Target - LocalSlice.Available,
                               this->Policy.maxRefill(Unallocated));
  if (Tokens <= Target / MinRefillDivisor)
    return false;
  this->requestGrant(Team, LocalSlice, Tokens, 0);
  return true;
}

void SliceHolder::planExcess(TeamId Team, Slice &LocalSlice, TokenCount Target,
                             TimePoint Now) {
  if (LocalSlice.Available <= Target * ExcessFactor) {
    LocalSlice.ExcessSince = TimePoint::max();
    return;
  }
  LocalSlice.ExcessSince = std::min(LocalSlice.ExcessSince, Now);
  if (Now - LocalSlice.ExcessSince < this->Policy.ExcessDelay)
    return;
  LocalSlice.ExcessSince = TimePoint::max();
  this->returnTokens(Team, LocalSlice, LocalSlice.Available - Target);
}

void SliceHolder::planStop(TeamId Team, Slice &LocalSlice) {
  auto Found = this->Fold.slice(Team, this->Self);
  if (!Found)
    return;
  // A remaining demand could be served after the record that ends this
  // incarnation was written.
  if (Found.value().Demand != 0)
    this->requestGrant(Team, LocalSlice, 0, 0);
  else if (LocalSlice.Available > 0)
    this->returnTokens(Team, LocalSlice, LocalSlice.Available);
}

void SliceHolder::beginStop(TimePoint Now) {
  this->IsStopping = true;
  this->planGrants(Now);
}

void SliceHolder::queueShutdownRecord() {
  if (this->HasQueuedShutdown || !this->Reservations.empty())
    return;
  for (const auto &[Team, LocalSlice] : this->Slices) {
    auto Found = this->Fold.slice(Team, this->Self);
    bool HasDemand = Found && Found.value().Demand != 0;
    if (LocalSlice.InFlight != Operation::None || LocalSlice.Available > 0 ||
        HasDemand)
      return;
  }
  IncarnationEnded Body{this->Self, EndEvidence::CleanShutdown, {}};
  this->HasQueuedShutdown = this->append(Body);
}

void SliceHolder::planEpoch(TimePoint Now) {
  if (this->NextEpochMark == TimePoint{})
    this->NextEpochMark = Now + this->Policy.EpochInterval +
                          this->Rng.jitter(this->Policy.EpochInterval / 2);
  LedgerEpoch Next = this->Fold.epoch() + 1;
  if (Now < this->NextEpochMark || this->MarkedEpoch == Next)
    return;
  if (this->append(EpochMark{Next}))
    this->MarkedEpoch = Next;
}

WitnessPair SliceHolder::chooseWitnesses(const WitnessPair &Current) const {
  WitnessPair Best{this->Self, this->Self};
  if (this->Hooks.ChooseWitness)
    Best.First = this->Hooks.ChooseWitness(Current.First);
  if (this->Hooks.ChooseSecondWitness)
    Best.Second = this->Hooks.ChooseSecondWitness(Current.Second);
  return Best;
}

bool SliceHolder::planWitness(TeamId Team, Slice &LocalSlice) {
  if (LocalSlice.Sequence == 0)
    return false;
  WitnessPair Current = LocalSlice.IsChangingWitness ? LocalSlice.NextWitnesses
                                                     : LocalSlice.Witnesses;
  WitnessPair Best = this->chooseWitnesses(Current);
  if (Best != Current)
    this->beginWitnessChange(Team, LocalSlice, Best);
  // Until the next witnesses store most notes, the cap would have to be large.
  TokenCount Cap = this->capFor(LocalSlice, 0);
  bool IsReady = LocalSlice.IsChangingWitness &&
                 (LocalSlice.UnwitnessedByNext * 2 <= Cap ||
                  !LocalSlice.NextWitnesses.hasPeer(this->Self));
  bool IsCapSmall = LocalSlice.Cap * 2 < Cap;
  if (!IsReady && !IsCapSmall)
    return false;
  this->requestGrant(Team, LocalSlice, 0, 0);
  return true;
}

void SliceHolder::beginWitnessChange(TeamId Team, Slice &LocalSlice,
                                     const WitnessPair &Next) {
  LocalSlice.UnwitnessedByNext = 0;
  LocalSlice.IsChangingWitness = Next != LocalSlice.Witnesses;
  LocalSlice.NextWitnesses = Next;
  if (!LocalSlice.IsChangingWitness)
    return;
  for (auto &[Id, OwnReservation] : this->Reservations) {
    if (OwnReservation.Team != Team)
      continue;
    OwnReservation.IsWitnessedByNext = false;
    LocalSlice.UnwitnessedByNext += OwnReservation.Tokens;
    this->sendNote(Id, OwnReservation.IsSettling ? NoteKind::Settled
                                                 : NoteKind::Opened);
  }
}

void SliceHolder::finishWitnessChange(TeamId Team, Slice &LocalSlice) {
  LocalSlice.IsChangingWitness = false;
  LocalSlice.Unwitnessed = 0;
  LocalSlice.UnwitnessedByNext = 0;
  for (auto &[Id, OwnReservation] : this->Reservations) {
    if (OwnReservation.Team != Team)
      continue;
    OwnReservation.IsWitnessed = OwnReservation.IsWitnessedByNext;
    LocalSlice.Unwitnessed +=
        OwnReservation.IsWitnessed ? 0 : OwnReservation.Tokens;
  }
}

void SliceHolder::resendNotes() {
  std::size_t Left = MaxNotesPerResend;
  for (const auto &[Id, OwnReservation] : this->Reservations) {
    const Slice &LocalSlice = this->Slices[OwnReservation.Team];
    bool IsMissing =
        (!OwnReservation.IsWitnessed &&
         LocalSlice.Witnesses.hasPeer(this->Self)) ||
        (LocalSlice.IsChangingWitness && !OwnReservation.IsWitnessedByNext);
    if (!IsMissing)
      continue;
    this->sendNote(Id, OwnReservation.IsSettling ? NoteKind::Settled
                                                 : NoteKind::Opened);
    if (--Left == 0)
      return;
  }
}

TokenCount SliceHolder::capFor(const Slice &LocalSlice,
                               TokenCount Asked) const {
  TokenCount Held =
      LocalSlice.Available + LocalSlice.Reserved + LocalSlice.Settling + Asked;
  return this->Policy.unwitnessedCap(Held, LocalSlice.LargestReservation);
}

void SliceHolder::requestGrant(TeamId Team, Slice &LocalSlice,
                               TokenCount Tokens, TokenCount Minimum) {
  if (LocalSlice.Sequence == 0)
    LocalSlice.Witnesses = this->chooseWitnesses({this->Self, this->Self});
  bool IsChange = LocalSlice.IsChangingWitness;
  WitnessPair Witnesses =
      IsChange ? LocalSlice.NextWitnesses : LocalSlice.Witnesses;
  TokenCount Unwitnessed =
      IsChange ? LocalSlice.UnwitnessedByNext : LocalSlice.Unwitnessed;
  GrantRequest Body;
  Body.Team = Team;
  Body.Sequence = LocalSlice.Sequence + 1;
  Body.Tokens = Tokens;
  Body.Minimum = Minimum;
  Body.Witnesses = Witnesses;
  // The cap must already hold when it is declared.
  Body.UnwitnessedCap = std::max(this->capFor(LocalSlice, Tokens), Unwitnessed);
  if (!this->append(Body))
    return;
  LocalSlice.Sequence = Body.Sequence;
  LocalSlice.InFlight = Operation::Grant;
  LocalSlice.InFlightWitnesses = Witnesses;
  LocalSlice.InFlightCap = Body.UnwitnessedCap;
}

void SliceHolder::returnTokens(TeamId Team, Slice &LocalSlice,
                               TokenCount Tokens) {
  SliceReturn Body{Team, LocalSlice.Sequence + 1, Tokens};
  if (!this->append(Body))
    return;
  LocalSlice.Sequence = Body.Sequence;
  LocalSlice.InFlight = Operation::Return;
  LocalSlice.Available -= Tokens;
  LocalSlice.Returning = Tokens;
}

bool SliceHolder::append(const LedgerBody &Body) {
  RecordId Id = this->Rng.next128();
  return this->Hooks.Append(makeLedgerRecord(Id, this->Self, Body)).has_value();
}

} // namespace bergamothook
