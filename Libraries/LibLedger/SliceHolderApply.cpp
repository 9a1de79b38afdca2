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
      [&](const auto &Present) {
        this->applyBody(Present, Writer, Verdict, Now);
      },
      Body);
  for (const auto &Grant : Verdict.Grants)
    if (Grant.Holder == this->Self)
      this->notify(Grant.Team);
}

void SliceHolder::applyBody(const GrantRequest &Body, Incarnation Writer,
                            const LedgerVerdict &Verdict, TimePoint Now) {
  auto Known = this->Slices.find(Body.Team);
  if (Known == this->Slices.end())
    return;
  Slice &Present = Known->second;
  if (Writer != this->Self) {
    if (Verdict.Outcome != LedgerOutcome::Denied)
      return;
    Present.IsAskedToReturn = true;
    this->plan(Body.Team, Present, Now);
    return;
  }
  bool IsAwaited =
      Present.OnWay == Operation::Grant && Body.Sequence == Present.Sequence;
  if (IsAwaited)
    this->finishGrant(Body.Team, Present, Verdict.Outcome, Body.Sequence);
}

void SliceHolder::finishGrant(TeamId Team, Slice &Present,
                              LedgerOutcome Outcome, std::uint32_t Sequence) {
  Present.OnWay = Operation::None;
  if (Outcome == LedgerOutcome::Void) {
    // The fold did not take the number.
    Present.Sequence = Sequence - 1;
    return;
  }
  Present.Cap = Present.CapOnWay;
  if (Present.Witnesses == Present.WitnessesOnWay)
    return;
  Present.Witnesses = Present.WitnessesOnWay;
  this->finishWitnessChange(Team, Present);
}

void SliceHolder::applyBody(const SliceReturn &Body, Incarnation Writer,
                            const LedgerVerdict &Verdict, TimePoint) {
  auto Known = this->Slices.find(Body.Team);
  if (Writer != this->Self || Known == this->Slices.end())
    return;
  Slice &Present = Known->second;
  if (Present.OnWay != Operation::Return || Body.Sequence != Present.Sequence ||
      Verdict.Outcome != LedgerOutcome::Accepted)
    return;
  Present.OnWay = Operation::None;
  Present.Returning = 0;
}

void SliceHolder::applyBody(const Settle &Body, Incarnation Writer,
                            const LedgerVerdict &Verdict, TimePoint) {
  auto Known = this->ByRequest.find(Body.Request);
  if (Known == this->ByRequest.end())
    return;
  ReservationId Id = Known->second;
  Reservation &Mine = this->Reservations.at(Id);
  bool IsBilled = Verdict.Outcome == LedgerOutcome::Accepted ||
                  Verdict.Outcome == LedgerOutcome::AlreadyBilled;
  if (Body.Holder != this->Self || !Mine.IsSettling) {
    Mine.IsBilledElsewhere |= IsBilled;
    return;
  }
  if (IsBilled) {
    this->finishSettlement(Id, Verdict.Outcome);
    return;
  }
  if (Writer != this->Self)
    return;
  // The epoch of the reservation moves on while the fold can still tell that
  // nobody billed the request, so that a fresh record is safe.
  bool IsKnownUnbilled =
      this->Fold.epoch() - Mine.Epoch <= this->Fold.memoryEpochs();
  if (Verdict.Outcome == LedgerOutcome::Late && Body.Epoch != Mine.Epoch &&
      IsKnownUnbilled) {
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
  for (const auto &[Team, Present] : this->Slices)
    this->notify(Team);
}

void SliceHolder::applyBody(const EpochMark &, Incarnation,
                            const LedgerVerdict &Verdict, TimePoint Now) {
  if (Verdict.Outcome != LedgerOutcome::Accepted)
    return;
  this->refreshEpochs();
  // Holders that wait differently long make few marks of one epoch.
  this->NextEpochMark = Now + this->Policy.EpochInterval +
                        this->Dice.jitter(this->Policy.EpochInterval / 2);
}

void SliceHolder::refreshEpochs() {
  for (auto &[Id, Present] : this->Reservations) {
    if (this->Fold.epoch() - Present.Epoch > this->Fold.memoryEpochs())
      continue;
    if (this->Fold.isBilled(Present.Request))
      Present.IsBilledElsewhere = true;
    else
      Present.Epoch = this->Fold.epoch();
  }
}

void SliceHolder::onRestored(TimePoint) {
  this->refreshEpochs();
  this->IsFenced |= this->Fold.isEnded(this->Self);
  for (auto &[Team, Present] : this->Slices)
    this->reconcile(Team, Present);
}

void SliceHolder::reconcile(TeamId Team, Slice &Present) {
  auto Known = this->Fold.slice(Team, this->Self);
  if (!Known) {
    // The fold knew this slice once, so it must have been closed.
    this->IsFenced |= Present.Sequence > 1 || Present.Reserved != 0;
    return;
  }
  std::vector<ReservationId> Billed;
  for (const auto &[Id, Mine] : this->Reservations)
    if (Mine.Team == Team && Mine.IsSettling &&
        this->Fold.isBilled(Mine.Request))
      Billed.push_back(Id);
  for (ReservationId Id : Billed)
    this->finishSettlement(Id, LedgerOutcome::Accepted);
  if (Known.value().Sequence >= Present.Sequence &&
      Present.OnWay != Operation::None) {
    Present.Returning = 0;
    if (Present.OnWay == Operation::Grant)
      this->finishGrant(Team, Present, LedgerOutcome::Accepted,
                        Present.Sequence);
    Present.OnWay = Operation::None;
  }
  Present.Available = Known.value().Outstanding - Present.Reserved -
                      Present.Settling - Present.Returning - Present.Disputed;
  this->notify(Team);
}

} // namespace bergamothook
