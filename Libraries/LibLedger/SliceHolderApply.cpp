#include "LibLedger/SliceHolder.h"

#include <algorithm>

namespace bergamothook {

void SliceHolder::onApplied(const StreamRecord &Record,
                            const LedgerVerdict &Verdict, TimePoint Now) {
  if (auto Body = decodeLedgerBody(Record))
    this->onApplied(Body.value(), Record.Writer, Verdict, Now);
}

void SliceHolder::onApplied(const LedgerBody &Body, Incarnation Writer,
                            const LedgerVerdict &Verdict, TimePoint Now) {
  if (Verdict.Outcome == LedgerOutcome::Duplicate)
    return;
  for (const auto &Grant : Verdict.Grants) {
    if (Grant.Holder != this->Self)
      continue;
    this->Slices[Grant.Team].Available += Grant.Tokens;
  }
  std::visit(
      [&](const auto &Typed) { this->applyBody(Typed, Writer, Verdict, Now); },
      Body);
  for (const auto &Grant : Verdict.Grants)
    if (Grant.Holder == this->Self)
      this->notify(Grant.Team);
}

void SliceHolder::applyBody(const GrantRequest &Body, Incarnation Writer,
                            const LedgerVerdict &Verdict, TimePoint Now) {
  auto Found = this->Slices.find(Body.Team);
  if (Found == this->Slices.end())
    return;
  Slice &LocalSlice = Found->second;
  if (Writer != this->Self) {
    if (Verdict.Outcome != LedgerOutcome::Denied)
      return;
    LocalSlice.IsReturnRequested = true;
    this->plan(Body.Team, LocalSlice, Now);
    return;
  }
  bool IsOwnGrant = LocalSlice.InFlight == Operation::Grant &&
                    Body.Sequence == LocalSlice.Sequence;
  if (IsOwnGrant)
    this->finishGrant(Body.Team, LocalSlice, Verdict.Outcome, Body.Sequence);
}

void SliceHolder::finishGrant(TeamId Team, Slice &LocalSlice,
                              LedgerOutcome Outcome, std::uint32_t Sequence) {
  LocalSlice.InFlight = Operation::None;
  if (Outcome == LedgerOutcome::Void) {
    // The fold did not consume the sequence number.
    LocalSlice.Sequence = Sequence - 1;
    return;
  }
  LocalSlice.Cap = LocalSlice.InFlightCap;
  if (LocalSlice.Witnesses == LocalSlice.InFlightWitnesses)
    return;
  LocalSlice.Witnesses = LocalSlice.InFlightWitnesses;
  this->finishWitnessChange(Team, LocalSlice);
}

void SliceHolder::applyBody(const SliceReturn &Body, Incarnation Writer,
                            const LedgerVerdict &Verdict, TimePoint) {
  auto Found = this->Slices.find(Body.Team);
  if (Writer != this->Self || Found == this->Slices.end())
    return;
  Slice &LocalSlice = Found->second;
  if (LocalSlice.InFlight != Operation::Return ||
      Body.Sequence != LocalSlice.Sequence ||
      Verdict.Outcome != LedgerOutcome::Accepted)
    return;
  LocalSlice.InFlight = Operation::None;
  LocalSlice.Returning = 0;
}

void SliceHolder::applyBody(const Settle &Body, Incarnation Writer,
                            const LedgerVerdict &Verdict, TimePoint) {
  auto Found = this->ReservationByRequest.find(Body.Request);
  if (Found == this->ReservationByRequest.end())
    return;
  ReservationId Id = Found->second;
  Reservation &OwnReservation = this->Reservations.at(Id);
  bool IsBilled = Verdict.Outcome == LedgerOutcome::Accepted ||
                  Verdict.Outcome == LedgerOutcome::AlreadyBilled;
  if (Body.Holder != this->Self || !OwnReservation.IsSettling) {
    OwnReservation.IsBilledElsewhere |= IsBilled;
    return;
  }
  if (IsBilled) {
    this->finishSettlement(Id, Verdict.Outcome);
    return;
  }
  if (Writer != this->Self)
    return;
  // The epoch of the reservation advances while the fold can still tell that
  // the request has not been billed, so a new record with that epoch is safe.
  bool IsKnownUnbilled =
      this->Fold.epoch() - OwnReservation.Epoch <= this->Fold.memoryEpochs();
  if (Verdict.Outcome == LedgerOutcome::Late &&
      Body.Epoch != OwnReservation.Epoch && IsKnownUnbilled) {
    this->queueSettlement(Id);
    return;
  }
  this->finishSettlement(Id, Verdict.Outcome);
}

void SliceHolder::applyBody(const IncarnationEnded &Body, Incarnation,
                            const LedgerVerdict &Verdict, TimePoint) {
  if (Body.Ended != this->Self || Verdict.Outcome != LedgerOutcome::Accepted)
    return;
  this->IsFenced = true;
  for (const auto &[Team, LocalSlice] : this->Slices)
    this->notify(Team);
}

void SliceHolder::applyBody(const EpochMark &, Incarnation,
                            const LedgerVerdict &Verdict, TimePoint Now) {
  if (Verdict.Outcome != LedgerOutcome::Accepted)
    return;
  this->refreshEpochs();
  // Jitter, so that few holders mark the same epoch.
  this->NextEpochMark = Now + this->Policy.EpochInterval +
                        this->Rng.jitter(this->Policy.EpochInterval / 2);
}

void SliceHolder::refreshEpochs() {
  for (auto &[Id, Open] : this->Reservations) {
    if (this->Fold.epoch() - Open.Epoch > this->Fold.memoryEpochs())
      continue;
    if (this->Fold.isBilled(Open.Request))
      Open.IsBilledElsewhere = true;
    else
      Open.Epoch = this->Fold.epoch();
  }
}

void SliceHolder::onRestored(TimePoint) {
  this->refreshEpochs();
  this->IsFenced |= this->Fold.isEnded(this->Self);
  for (auto &[Team, LocalSlice] : this->Slices)
    this->reconcile(Team, LocalSlice);
}

void SliceHolder::reconcile(TeamId Team, Slice &LocalSlice) {
  auto Found = this->Fold.slice(Team, this->Self);
  if (!Found) {
    // The fold had this slice before, so the slice must have been closed.
    this->IsFenced |= LocalSlice.Sequence > 1 || LocalSlice.Reserved != 0;
    return;
  }
  std::vector<ReservationId> Billed;
  for (const auto &[Id, OwnReservation] : this->Reservations)
    if (OwnReservation.Team == Team && OwnReservation.IsSettling &&
        this->Fold.isBilled(OwnReservation.Request))
      Billed.push_back(Id);
  for (ReservationId Id : Billed)
    this->finishSettlement(Id, LedgerOutcome::Accepted);
  if (Found.value().Sequence >= LocalSlice.Sequence &&
      LocalSlice.InFlight != Operation::None) {
    LocalSlice.Returning = 0;
    if (LocalSlice.InFlight == Operation::Grant)
      this->finishGrant(Team, LocalSlice, LedgerOutcome::Accepted,
                        LocalSlice.Sequence);
    LocalSlice.InFlight = Operation::None;
  }
  LocalSlice.Available = Found.value().Outstanding - LocalSlice.Reserved -
                         LocalSlice.Settling - LocalSlice.Returning -
                         LocalSlice.Disputed;
  this->notify(Team);
}

} // namespace bergamothook
