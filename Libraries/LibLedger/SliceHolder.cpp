#include "LibLedger/SliceHolder.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bergamothook {

SliceHolder::SliceHolder(Incarnation Self, const BudgetFold &Fold,
                         SlicePolicy Policy, SliceHolderHooks Hooks,
                         std::uint64_t Seed)
    : Self(Self), Fold(Fold), Policy(Policy), Hooks(std::move(Hooks)),
      Dice(Seed) {}

Result<void> SliceHolder::mayReserve(TeamId Team, RequestId Request,
                                     TokenCount WorstCase) const {
  if (this->IsFenced)
    return LedgerError::Fenced;
  if (this->IsStopping)
    return LedgerError::Stopping;
  if (this->Fold.isBilled(Request))
    return LedgerError::AlreadyBilled;
  if (this->ByRequest.contains(Request))
    return LedgerError::AlreadyReserved;
  if (!this->Fold.isKnown(Team))
    return LedgerError::UnknownTeam;
  if (this->Fold.isClosed(Team))
    return LedgerError::BudgetClosed;
  if (this->Fold.unsettled(Team) < WorstCase)
    return LedgerError::BudgetExhausted;
  return success();
}

Result<ReservationId> SliceHolder::reserve(TeamId Team, RequestId Request,
                                           AttemptNumber Attempt,
                                           TokenCount WorstCase,
                                           TimePoint Now) {
  WorstCase = std::max<TokenCount>(WorstCase, 0);
  if (auto Allowed = this->mayReserve(Team, Request, WorstCase); !Allowed) {
    this->Counters.RefusedExhausted +=
        Allowed.error() == LedgerError::BudgetExhausted;
    return Allowed.error();
  }
  Slice &Present = this->Slices[Team];
  Present.Largest = std::max(Present.Largest, WorstCase);
  if (Present.Available < WorstCase) {
    ++this->Counters.RefusedNotInHand;
    Present.Wants[Request] = {WorstCase, Now + this->Policy.WantLifetime};
    this->plan(Team, Present, Now);
    return LedgerError::SliceNotInHand;
  }
  if (!this->hasWitnessRoom(Present, WorstCase)) {
    ++this->Counters.RefusedWitness;
    this->plan(Team, Present, Now);
    return LedgerError::WitnessBehind;
  }
  Present.Wants.erase(Request);
  Present.Available -= WorstCase;
  Present.Reserved += WorstCase;
  ReservationId Id{this->NextReservation++};
  Reservation Made;
  Made.Request = Request;
  Made.Team = Team;
  Made.Tokens = WorstCase;
  Made.Attempt = Attempt;
  Made.Epoch = this->Fold.epoch();
  this->countWitnessed(Present, Made, 1);
  this->Reservations.emplace(Id, Made);
  this->ByRequest.emplace(Request, Id);
  this->note(Id, NoteKind::Opened);
  ++this->Counters.Reserved;
  return Id;
}

Result<void> SliceHolder::settle(ReservationId Id, TokenCount Tokens,
                                 TimePoint Now) {
  auto Known = this->Reservations.find(Id);
  if (Known == this->Reservations.end() || Known->second.IsSettling)
    return LedgerError::UnknownReservation;
  Reservation &Ending = Known->second;
  Slice &Present = this->Slices[Ending.Team];
  TokenCount Spent = std::clamp<TokenCount>(Tokens, 0, Ending.Tokens);
  this->Counters.Overruns += Tokens > Ending.Tokens;
  this->updateRate(Present, Spent, Now);
  TeamId Team = Ending.Team;
  if (Ending.IsBilledElsewhere) {
    ++this->Counters.SecondBills;
    return this->release(Id, Now);
  }
  this->countWitnessed(Present, Ending, -1);
  Present.Reserved -= Ending.Tokens;
  Present.Available += Ending.Tokens - Spent;
  Present.Settling += Spent;
  Ending.Tokens = Spent;
  Ending.IsSettling = true;
  this->countWitnessed(Present, Ending, 1);
  this->note(Id, NoteKind::Settled);
  this->queueSettlement(Id);
  this->notify(Team);
  return success();
}

Result<void> SliceHolder::release(ReservationId Id, TimePoint) {
  auto Known = this->Reservations.find(Id);
  if (Known == this->Reservations.end() || Known->second.IsSettling)
    return LedgerError::UnknownReservation;
  Slice &Present = this->Slices[Known->second.Team];
  Present.Reserved -= Known->second.Tokens;
  Present.Available += Known->second.Tokens;
  this->close(Id);
  return success();
}

bool SliceHolder::hasWitnessRoom(const Slice &Of, TokenCount Tokens) const {
  if (Of.Witnesses.hasPeer(this->Self) && Of.Unwitnessed + Tokens > Of.Cap)
    return false;
  if (Of.OnWay != Operation::Grant || !Of.WitnessesOnWay.hasPeer(this->Self))
    return true;
  // The promise of the operation on its way holds from now on as well.
  bool IsSame = Of.WitnessesOnWay == Of.Witnesses;
  TokenCount Unwitnessed = IsSame ? Of.Unwitnessed : Of.UnwitnessedByNext;
  return Unwitnessed + Tokens <= Of.CapOnWay;
}

void SliceHolder::abandon(TeamId Team, RequestId Request) {
  auto Known = this->Slices.find(Team);
  if (Known != this->Slices.end())
    Known->second.Wants.erase(Request);
}

void SliceHolder::warm(TeamId Team) { this->Slices[Team].IsWarm = true; }

void SliceHolder::queueSettlement(ReservationId Id) {
  Reservation &Ending = this->Reservations.at(Id);
  Settle Body;
  Body.Request = Ending.Request;
  Body.Team = Ending.Team;
  Body.Holder = this->Self;
  Body.Tokens = Ending.Tokens;
  Body.Attempt = Ending.Attempt;
  Body.Epoch = Ending.Epoch;
  RecordId Record = settleRecordId(Ending.Request, this->Self, Ending.Epoch);
  Ending.IsQueued =
      this->Hooks.Append(makeLedgerRecord(Record, this->Self, Body))
          .has_value();
}

void SliceHolder::finishSettlement(ReservationId Id, LedgerOutcome Outcome) {
  Reservation &Ending = this->Reservations.at(Id);
  Slice &Present = this->Slices[Ending.Team];
  Present.Settling -= Ending.Tokens;
  if (Outcome == LedgerOutcome::AlreadyBilled) {
    Present.Available += Ending.Tokens;
    ++this->Counters.SecondBills;
  } else if (Outcome != LedgerOutcome::Accepted) {
    Present.Disputed += Ending.Tokens;
    this->Counters.Disputed += Ending.Tokens;
  }
  this->close(Id);
}

void SliceHolder::close(ReservationId Id) {
  Reservation &Closing = this->Reservations.at(Id);
  TeamId Team = Closing.Team;
  this->countWitnessed(this->Slices[Team], Closing, -1);
  this->note(Id, NoteKind::Closed);
  this->ByRequest.erase(Closing.Request);
  this->Reservations.erase(Id);
  this->notify(Team);
}

void SliceHolder::notify(TeamId Team) {
  if (this->Hooks.Changed)
    this->Hooks.Changed(Team);
}

ReservationId SliceHolder::lowestOpen() const {
  return this->Reservations.empty() ? ReservationId{this->NextReservation}
                                    : this->Reservations.begin()->first;
}

void SliceHolder::countWitnessed(Slice &Of, const Reservation &By,
                                 TokenCount Sign) {
  if (!By.IsWitnessed)
    Of.Unwitnessed += Sign * By.Tokens;
  if (Of.IsChangingWitness && !By.IsWitnessedByNext)
    Of.UnwitnessedByNext += Sign * By.Tokens;
}

void SliceHolder::note(ReservationId Id, NoteKind Kind) {
  const Reservation &Of = this->Reservations.at(Id);
  const Slice &Present = this->Slices[Of.Team];
  SettlementNote Made;
  Made.Kind = Kind;
  Made.Holder = this->Self;
  Made.Reservation = Id;
  Made.LowestOpen = this->lowestOpen();
  Made.Request = Of.Request;
  Made.Team = Of.Team;
  Made.Tokens = Of.Tokens;
  Made.Attempt = Of.Attempt;
  Made.Epoch = Of.Epoch;
  if (!this->Hooks.SendNote)
    return;
  std::set<Incarnation> Peers{Present.Witnesses.First,
                              Present.Witnesses.Second};
  if (Present.IsChangingWitness)
    Peers.insert({Present.NextWitnesses.First, Present.NextWitnesses.Second});
  Peers.erase(this->Self);
  for (Incarnation Peer : Peers)
    this->Hooks.SendNote(Peer, Made);
}

void SliceHolder::onAcknowledged(const NoteAcknowledgement &Answer, TimePoint) {
  auto Known = this->Reservations.find(Answer.Reservation);
  if (Known == this->Reservations.end())
    return;
  Reservation &Of = Known->second;
  // Whichever note is held covers the reservation: the worst case of the first
  // is at least what the second bills.
  Slice &Slice = this->Slices[Of.Team];
  if (Slice.Witnesses.contains(Answer.Witness) && !Of.IsWitnessed) {
    Of.IsWitnessed = true;
    Slice.Unwitnessed -= Of.Tokens;
  }
  if (Slice.IsChangingWitness && Slice.NextWitnesses.contains(Answer.Witness) &&
      !Of.IsWitnessedByNext) {
    Of.IsWitnessedByNext = true;
    Slice.UnwitnessedByNext -= Of.Tokens;
  }
  this->notify(Of.Team);
}

void SliceHolder::updateRate(Slice &Of, TokenCount Spent, TimePoint Now) const {
  std::chrono::duration<double> Window = this->Policy.RateWindow;
  std::chrono::duration<double> Passed = Now - Of.RateAt;
  Of.Rate *= std::exp(-std::max(0.0, Passed.count()) / Window.count());
  Of.Rate += static_cast<double>(Spent) / Window.count();
  Of.RateAt = Now;
}

LocalSliceView SliceHolder::slice(TeamId Team) const {
  auto Known = this->Slices.find(Team);
  if (Known == this->Slices.end())
    return {};
  const Slice &Of = Known->second;
  return {Of.Available,   Of.Reserved, Of.Settling,  Of.Returning, Of.Disputed,
          Of.Unwitnessed, Of.Cap,      Of.Witnesses, Of.Rate};
}

} // namespace bergamothook
