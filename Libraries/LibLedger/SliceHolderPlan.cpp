#include "LibLedger/SliceHolder.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// A slice is topped up when it lacks more than this share of its target, so
/// that an outage finds it nearly full.
constexpr TokenCount LackDivisor = 8;
/// A topping smaller than this share of the target is not worth a record.
constexpr TokenCount SmallestToppingDivisor = 16;
/// A slice is too large when it holds this many times its target.
constexpr TokenCount ExcessFactor = 3;
/// Another holder's demand takes at most half of a slice at once, unless the
/// slice is smaller than this many reservations.
constexpr TokenCount LargeSliceReservations = 4;
/// A return covers several demands of the same size, to save appends.
constexpr TokenCount DemandsPerReturn = 4;

constexpr Duration NoteRepeatInterval = std::chrono::milliseconds(300);
constexpr std::size_t NotesPerRepeat = 512;

} // namespace

void SliceHolder::planGrants(TimePoint Now) {
  if (this->IsFenced)
    return;
  for (auto &[Team, Present] : this->Slices)
    this->plan(Team, Present, Now);
  for (auto &[Id, Present] : this->Reservations)
    if (Present.IsSettling && !Present.IsQueued)
      this->queueSettlement(Id);
  if (Now >= this->NextNoteRepeat) {
    this->NextNoteRepeat = Now + NoteRepeatInterval;
    this->repeatNotes();
  }
  this->planEpoch(Now);
  if (this->IsStopping)
    this->sayFarewell();
}

void SliceHolder::plan(TeamId Team, Slice &Present, TimePoint Now) {
  bool IsIdle = Present.Sequence == 0 && Present.Wants.empty();
  if (this->IsFenced || Present.OnWay != Operation::None)
    return;
  if (this->IsStopping) {
    this->planStop(Team, Present);
    return;
  }
  if (IsIdle && !Present.IsWarm)
    return;
  if (!this->Fold.isKnown(Team) || this->Fold.isClosed(Team))
    return;
  std::erase_if(Present.Wants,
                [&](const auto &Want) { return Want.second.Until < Now; });
  this->updateRate(Present, 0, Now);
  TokenCount Target = this->Policy.target(Present.Rate, Present.Reserved,
                                          this->Fold.unallocated(Team));
  bool IsDone = this->planWants(Team, Present, Target, Now) ||
                this->planReturn(Team, Present) ||
                this->planWitness(Team, Present) ||
                this->planTopping(Team, Present, Target);
  if (!IsDone)
    this->planExcess(Team, Present, Target, Now);
}

bool SliceHolder::planWants(TeamId Team, Slice &Present, TokenCount Target,
                            TimePoint Now) {
  auto Known = this->Fold.slice(Team, this->Self);
  bool HasDemand = Known && Known.value().Demand != 0;
  TokenCount Sum = 0;
  TokenCount Least = 0;
  for (const auto &[Request, Wanted] : Present.Wants) {
    Sum += Wanted.Tokens;
    if (Wanted.Tokens > Present.Available)
      Least = Least == 0 ? Wanted.Tokens : std::min(Least, Wanted.Tokens);
  }
  if (Least == 0) {
    if (HasDemand)
      this->ask(Team, Present, 0, 0);
    return HasDemand;
  }
  if (HasDemand && Now < Present.LastDemand + this->Policy.DemandInterval)
    return false;
  Present.LastDemand = Now;
  TokenCount Topping = std::min(
      Target, this->Policy.largestTopping(this->Fold.unallocated(Team)));
  TokenCount Tokens = std::max(Sum, Topping) - Present.Available;
  this->ask(Team, Present, Tokens, Least - Present.Available);
  return true;
}

bool SliceHolder::planReturn(TeamId Team, Slice &Present) {
  if (!Present.IsAskedToReturn || !this->Fold.hasDemand(Team))
    return false;
  Present.IsAskedToReturn = false;
  auto View = this->Fold.view(Team);
  TokenCount Demanded = 0;
  for (const auto &Other : View.value().Slices)
    if (Other.Holder != this->Self)
      Demanded = std::max(Demanded, Other.Demand);
  TokenCount Missing = Demanded - View.value().Unallocated;
  bool IsLarge = Present.Available > Present.Largest * LargeSliceReservations;
  TokenCount Spare = IsLarge ? Present.Available / 2 : Present.Available;
  TokenCount Given = std::min(Spare, Missing * DemandsPerReturn);
  if (Given <= 0)
    return false;
  this->giveBack(Team, Present, Given);
  return true;
}

bool SliceHolder::planTopping(TeamId Team, Slice &Present, TokenCount Target) {
  if (Present.Available >= Target - Target / LackDivisor ||
      this->Fold.hasDemand(Team))
    return false;
  TokenCount Unallocated = this->Fold.unallocated(Team);
  TokenCount Tokens = std::min(Target - Present.Available,
                               this->Policy.largestTopping(Unallocated));
  if (Tokens <= Target / SmallestToppingDivisor)
    return false;
  this->ask(Team, Present, Tokens, 0);
  return true;
}

void SliceHolder::planExcess(TeamId Team, Slice &Present, TokenCount Target,
                             TimePoint Now) {
  if (Present.Available <= Target * ExcessFactor) {
    Present.ExcessSince = TimePoint::max();
    return;
  }
  Present.ExcessSince = std::min(Present.ExcessSince, Now);
  if (Now - Present.ExcessSince < this->Policy.ExcessPatience)
    return;
  Present.ExcessSince = TimePoint::max();
  this->giveBack(Team, Present, Present.Available - Target);
}

void SliceHolder::planStop(TeamId Team, Slice &Present) {
  auto Known = this->Fold.slice(Team, this->Self);
  if (!Known)
    return;
  // A demand left behind could be served after the farewell was written.
  if (Known.value().Demand != 0)
    this->ask(Team, Present, 0, 0);
  else if (Present.Available > 0)
    this->giveBack(Team, Present, Present.Available);
}

void SliceHolder::beginStop(TimePoint Now) {
  this->IsStopping = true;
  this->planGrants(Now);
}

void SliceHolder::sayFarewell() {
  if (this->HasSaidFarewell || !this->Reservations.empty())
    return;
  for (const auto &[Team, Present] : this->Slices) {
    auto Known = this->Fold.slice(Team, this->Self);
    bool HasDemand = Known && Known.value().Demand != 0;
    if (Present.OnWay != Operation::None || Present.Available > 0 || HasDemand)
      return;
  }
  IncarnationEnded Body{this->Self, EndEvidence::Farewell, {}};
  this->HasSaidFarewell = this->append(Body);
}

void SliceHolder::planEpoch(TimePoint Now) {
  if (this->NextEpochMark == TimePoint{})
    this->NextEpochMark = Now + this->Policy.EpochInterval +
                          this->Dice.jitter(this->Policy.EpochInterval / 2);
  LedgerEpoch Next = this->Fold.epoch() + 1;
  if (Now < this->NextEpochMark || this->MarkedEpoch == Next)
    return;
  if (this->append(EpochMark{Next}))
    this->MarkedEpoch = Next;
}

WitnessPair SliceHolder::chooseWitnesses(const WitnessPair &Present) const {
  WitnessPair Best{this->Self, this->Self};
  if (this->Hooks.ChooseWitness)
    Best.First = this->Hooks.ChooseWitness(Present.First);
  if (this->Hooks.ChooseSecondWitness)
    Best.Second = this->Hooks.ChooseSecondWitness(Present.Second);
  return Best;
}

bool SliceHolder::planWitness(TeamId Team, Slice &Present) {
  if (Present.Sequence == 0)
    return false;
  WitnessPair Sought =
      Present.IsChangingWitness ? Present.NextWitnesses : Present.Witnesses;
  WitnessPair Best = this->chooseWitnesses(Sought);
  if (Best != Sought)
    this->beginWitnessChange(Team, Present, Best);
  // Until the next witness holds most notes, the cap would have to be large.
  TokenCount Cap = this->capFor(Present, 0);
  bool IsReady =
      Present.IsChangingWitness && (Present.UnwitnessedByNext * 2 <= Cap ||
                                    !Present.NextWitnesses.hasPeer(this->Self));
  bool IsCapSmall = Present.Cap * 2 < Cap;
  if (!IsReady && !IsCapSmall)
    return false;
  this->ask(Team, Present, 0, 0);
  return true;
}

void SliceHolder::beginWitnessChange(TeamId Team, Slice &Present,
                                     const WitnessPair &Next) {
  Present.UnwitnessedByNext = 0;
  Present.IsChangingWitness = Next != Present.Witnesses;
  Present.NextWitnesses = Next;
  if (!Present.IsChangingWitness)
    return;
  for (auto &[Id, Mine] : this->Reservations) {
    if (Mine.Team != Team)
      continue;
    Mine.IsWitnessedByNext = false;
    Present.UnwitnessedByNext += Mine.Tokens;
    this->note(Id, Mine.IsSettling ? NoteKind::Settled : NoteKind::Opened);
  }
}

void SliceHolder::finishWitnessChange(TeamId Team, Slice &Present) {
  Present.IsChangingWitness = false;
  Present.Unwitnessed = 0;
  Present.UnwitnessedByNext = 0;
  for (auto &[Id, Mine] : this->Reservations) {
    if (Mine.Team != Team)
      continue;
    Mine.IsWitnessed = Mine.IsWitnessedByNext;
    Present.Unwitnessed += Mine.IsWitnessed ? 0 : Mine.Tokens;
  }
}

void SliceHolder::repeatNotes() {
  std::size_t Left = NotesPerRepeat;
  for (const auto &[Id, Mine] : this->Reservations) {
    const Slice &Present = this->Slices[Mine.Team];
    bool IsMissing =
        (!Mine.IsWitnessed && Present.Witnesses.hasPeer(this->Self)) ||
        (Present.IsChangingWitness && !Mine.IsWitnessedByNext);
    if (!IsMissing)
      continue;
    this->note(Id, Mine.IsSettling ? NoteKind::Settled : NoteKind::Opened);
    if (--Left == 0)
      return;
  }
}

TokenCount SliceHolder::capFor(const Slice &Of, TokenCount Asked) const {
  TokenCount Held = Of.Available + Of.Reserved + Of.Settling + Asked;
  return this->Policy.unwitnessedCap(Held, Of.Largest);
}

void SliceHolder::ask(TeamId Team, Slice &Present, TokenCount Tokens,
                      TokenCount Minimum) {
  if (Present.Sequence == 0)
    Present.Witnesses = this->chooseWitnesses({this->Self, this->Self});
  bool IsChange = Present.IsChangingWitness;
  WitnessPair Witnesses = IsChange ? Present.NextWitnesses : Present.Witnesses;
  TokenCount Exposed =
      IsChange ? Present.UnwitnessedByNext : Present.Unwitnessed;
  GrantRequest Body;
  Body.Team = Team;
  Body.Sequence = Present.Sequence + 1;
  Body.Tokens = Tokens;
  Body.Minimum = Minimum;
  Body.Witnesses = Witnesses;
  // The promise must hold already when it is made.
  Body.UnwitnessedCap = std::max(this->capFor(Present, Tokens), Exposed);
  if (!this->append(Body))
    return;
  Present.Sequence = Body.Sequence;
  Present.OnWay = Operation::Grant;
  Present.WitnessesOnWay = Witnesses;
  Present.CapOnWay = Body.UnwitnessedCap;
}

void SliceHolder::giveBack(TeamId Team, Slice &Present, TokenCount Tokens) {
  SliceReturn Body{Team, Present.Sequence + 1, Tokens};
  if (!this->append(Body))
    return;
  Present.Sequence = Body.Sequence;
  Present.OnWay = Operation::Return;
  Present.Available -= Tokens;
  Present.Returning = Tokens;
}

bool SliceHolder::append(const LedgerBody &Body) {
  RecordId Id = this->Dice.next128();
  return this->Hooks.Append(makeLedgerRecord(Id, this->Self, Body)).has_value();
}

} // namespace bergamothook
