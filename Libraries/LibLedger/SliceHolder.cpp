#include "LibLedger/SliceHolder.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bergamothook {

SliceHolder::SliceHolder(Incarnation Self, const BudgetFold &Fold,
                         SlicePolicy Policy, SliceHolderHooks Hooks,
                         std::uint64_t Seed)
    : Self(Self), Fold(Fold), Policy(Policy), Hooks(std::move(Hooks)),
      Rng(Seed) {}

Result<void> SliceHolder::checkReservable(TeamId Team, RequestId Request,
                                          TokenCount WorstCase) const {
  if (this->IsFenced)
    return LedgerError::Fenced;
  if (this->IsStopping)
    return LedgerError::Stopping;
  if (this->Fold.isBilled(Request))
    return LedgerError::AlreadyBilled;
  if (this->ReservationByRequest.contains(Request))
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
  if (auto Allowed = this->checkReservable(Team, Request, WorstCase);
      !Allowed) {
    this->Counters.RefusedExhausted +=
        Allowed.error() == LedgerError::BudgetExhausted;
    return Allowed.error();
  }
  Slice &LocalSlice = this->Slices[Team];
  LocalSlice.LargestReservation =
      std::max(LocalSlice.LargestReservation, WorstCase);
  if (LocalSlice.Available < WorstCase) {
    ++this->Counters.RefusedNotInHand;
    LocalSlice.WaitingReservations[Request] = {
        WorstCase, Now + this->Policy.WaitingReservationTimeout};
    this->plan(Team, LocalSlice, Now);
    return LedgerError::SliceNotInHand;
  }
  if (!this->fitsUnwitnessedCap(LocalSlice, WorstCase)) {
    ++this->Counters.RefusedWitness;
    this->plan(Team, LocalSlice, Now);
    return LedgerError::WitnessBehind;
  }
  LocalSlice.WaitingReservations.erase(Request);
  LocalSlice.Available -= WorstCase;
  LocalSlice.Reserved += WorstCase;
  ReservationId Id{this->NextReservation++};
  Reservation Added;
  Added.Request = Request;
  Added.Team = Team;
  Added.Tokens = WorstCase;
  Added.Attempt = Attempt;
  Added.Epoch = this->Fold.epoch();
  this->countWitnessed(LocalSlice, Added, 1);
  this->Reservations.emplace(Id, Added);
  this->ReservationByRequest.emplace(Request, Id);
  this->sendNote(Id, NoteKind::Opened);
  ++this->Counters.Reserved;
  return Id;
}

Result<void> SliceHolder::settle(ReservationId Id, TokenCount Tokens,
                                 TimePoint Now) {
  auto Found = this->Reservations.find(Id);
  if (Found == this->Reservations.end() || Found->second.IsSettling)
    return LedgerError::UnknownReservation;
  Reservation &Ending = Found->second;
  Slice &LocalSlice = this->Slices[Ending.Team];
  TokenCount Spent = std::clamp<TokenCount>(Tokens, 0, Ending.Tokens);
  this->Counters.Overruns += Tokens > Ending.Tokens;
  this->updateRate(LocalSlice, Spent, Now);
  TeamId Team = Ending.Team;
  if (Ending.IsBilledElsewhere) {
    ++this->Counters.SecondBills;
    return this->release(Id, Now);
  }
  this->countWitnessed(LocalSlice, Ending, -1);
  LocalSlice.Reserved -= Ending.Tokens;
  LocalSlice.Available += Ending.Tokens - Spent;
  LocalSlice.Settling += Spent;
  Ending.Tokens = Spent;
  Ending.IsSettling = true;
  this->countWitnessed(LocalSlice, Ending, 1);
  this->sendNote(Id, NoteKind::Settled);
  this->queueSettlement(Id);
  this->notify(Team);
  return success();
}

Result<void> SliceHolder::release(ReservationId Id, TimePoint) {
  auto Found = this->Reservations.find(Id);
  if (Found == this->Reservations.end() || Found->second.IsSettling)
    return LedgerError::UnknownReservation;
  Slice &LocalSlice = this->Slices[Found->second.Team];
  LocalSlice.Reserved -= Found->second.Tokens;
  LocalSlice.Available += Found->second.Tokens;
  this->close(Id);
  return success();
}

bool SliceHolder::fitsUnwitnessedCap(const Slice &LocalSlice,
                                     TokenCount Tokens) const {
  if (LocalSlice.Witnesses.hasPeer(this->Self) &&
      LocalSlice.Unwitnessed + Tokens > LocalSlice.Cap)
    return false;
  if (LocalSlice.InFlight != Operation::Grant ||
      !LocalSlice.InFlightWitnesses.hasPeer(this->Self))
    return true;
  // The cap of the grant in flight applies from now on as well.
  bool IsSame = LocalSlice.InFlightWitnesses == LocalSlice.Witnesses;
  TokenCount Unwitnessed =
      IsSame ? LocalSlice.Unwitnessed : LocalSlice.UnwitnessedByNext;
  return Unwitnessed + Tokens <= LocalSlice.InFlightCap;
}

void SliceHolder::abandon(TeamId Team, RequestId Request) {
  auto Found = this->Slices.find(Team);
  if (Found != this->Slices.end())
    Found->second.WaitingReservations.erase(Request);
}

void SliceHolder::warm(TeamId Team) { this->Slices[Team].IsKeptWarm = true; }

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
  Slice &LocalSlice = this->Slices[Ending.Team];
  LocalSlice.Settling -= Ending.Tokens;
  if (Outcome == LedgerOutcome::AlreadyBilled) {
    LocalSlice.Available += Ending.Tokens;
    ++this->Counters.SecondBills;
  } else if (Outcome != LedgerOutcome::Accepted) {
    LocalSlice.Disputed += Ending.Tokens;
    this->Counters.Disputed += Ending.Tokens;
  }
  this->close(Id);
}

void SliceHolder::close(ReservationId Id) {
  Reservation &Closing = this->Reservations.at(Id);
  TeamId Team = Closing.Team;
  this->countWitnessed(this->Slices[Team], Closing, -1);
  this->sendNote(Id, NoteKind::Closed);
  this->ReservationByRequest.erase(Closing.Request);
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

void SliceHolder::countWitnessed(Slice &LocalSlice, const Reservation &Counted,
                                 TokenCount Sign) {
  if (!Counted.IsWitnessed)
    LocalSlice.Unwitnessed += Sign * Counted.Tokens;
  if (LocalSlice.IsChangingWitness && !Counted.IsWitnessedByNext)
    LocalSlice.UnwitnessedByNext += Sign * Counted.Tokens;
}

void SliceHolder::sendNote(ReservationId Id, NoteKind Kind) {
  const Reservation &Source = this->Reservations.at(Id);
  const Slice &LocalSlice = this->Slices[Source.Team];
  SettlementNote Note;
  Note.Kind = Kind;
  Note.Holder = this->Self;
  Note.Reservation = Id;
  Note.LowestOpen = this->lowestOpen();
  Note.Request = Source.Request;
  Note.Team = Source.Team;
  Note.Tokens = Source.Tokens;
  Note.Attempt = Source.Attempt;
  Note.Epoch = Source.Epoch;
  if (!this->Hooks.SendNote)
    return;
  std::set<Incarnation> Peers{LocalSlice.Witnesses.First,
                              LocalSlice.Witnesses.Second};
  if (LocalSlice.IsChangingWitness)
    Peers.insert(
        {LocalSlice.NextWitnesses.First, LocalSlice.NextWitnesses.Second});
  Peers.erase(this->Self);
  for (Incarnation Peer : Peers)
    this->Hooks.SendNote(Peer, Note);
}

void SliceHolder::onAcknowledged(const NoteAcknowledgement &Answer, TimePoint) {
  auto Found = this->Reservations.find(Answer.Reservation);
  if (Found == this->Reservations.end())
    return;
  Reservation &Acknowledged = Found->second;
  // Either note covers the reservation, because the worst case in the first
  // note is at least the billed amount in the second.
  Slice &LocalSlice = this->Slices[Acknowledged.Team];
  if (LocalSlice.Witnesses.contains(Answer.Witness) &&
      !Acknowledged.IsWitnessed) {
    Acknowledged.IsWitnessed = true;
    LocalSlice.Unwitnessed -= Acknowledged.Tokens;
  }
  if (LocalSlice.IsChangingWitness &&
      LocalSlice.NextWitnesses.contains(Answer.Witness) &&
      !Acknowledged.IsWitnessedByNext) {
    Acknowledged.IsWitnessedByNext = true;
    LocalSlice.UnwitnessedByNext -= Acknowledged.Tokens;
  }
  this->notify(Acknowledged.Team);
}

void SliceHolder::updateRate(Slice &LocalSlice, TokenCount Spent,
                             TimePoint Now) const {
  std::chrono::duration<double> Window = this->Policy.RateWindow;
  std::chrono::duration<double> Passed = Now - LocalSlice.RateUpdatedAt;
  LocalSlice.Rate *= std::exp(-std::max(0.0, Passed.count()) / Window.count());
  LocalSlice.Rate += static_cast<double>(Spent) / Window.count();
  LocalSlice.RateUpdatedAt = Now;
}

LocalSliceView SliceHolder::slice(TeamId Team) const {
  auto Found = this->Slices.find(Team);
  if (Found == this->Slices.end())
    return {};
  const Slice &LocalSlice = Found->second;
  return {LocalSlice.Available, LocalSlice.Reserved,  LocalSlice.Settling,
          LocalSlice.Returning, LocalSlice.Disputed,  LocalSlice.Unwitnessed,
          LocalSlice.Cap,       LocalSlice.Witnesses, LocalSlice.Rate};
}

} // namespace bergamothook
