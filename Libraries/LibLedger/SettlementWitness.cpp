#include "LibLedger/SettlementWitness.h"

namespace bergamothook {

SettlementWitness::SettlementWitness(Incarnation Self, const BudgetFold &Fold,
                                     SettlementWitnessLimits Limits,
                                     Append AppendHook, std::uint64_t Seed)
    : Self(Self), Fold(Fold), Limits(Limits), AppendHook(std::move(AppendHook)),
      Dice(Seed) {}

Result<NoteAcknowledgement>
SettlementWitness::onNote(const SettlementNote &Note) {
  // After the end was read a report may be on its way already, and it must
  // stay true.
  if (this->Fold.isEnded(Note.Holder) || this->Fold.isEnded(this->Self))
    return LedgerError::Fenced;
  NoteAcknowledgement Answer{this->Self, Note.Reservation, Note.Kind};
  Peer &From = this->Peers[Note.Holder];
  this->dropBelow(From, Note.LowestOpen);
  auto Known = From.Notes.find(Note.Reservation);
  if (Note.Kind == NoteKind::Closed) {
    if (Known != From.Notes.end())
      this->drop(From, Known);
    return Answer;
  }
  if (Note.Reservation < From.LowestOpen)
    return Answer;
  if (Known != From.Notes.end()) {
    if (Note.Kind > Known->second.Note.Kind)
      Known->second.Note = Note;
    return Answer;
  }
  if (this->NoteCount >= this->Limits.MaxNotes)
    return LedgerError::WitnessFull;
  From.Notes.emplace(Note.Reservation, Kept{Note});
  ++this->NoteCount;
  return Answer;
}

SettlementWitness::Notes::iterator SettlementWitness::drop(Peer &Of,
                                                           Notes::iterator At) {
  --this->NoteCount;
  return Of.Notes.erase(At);
}

void SettlementWitness::dropBelow(Peer &Of, ReservationId Lowest) {
  Of.LowestOpen = std::max(Of.LowestOpen, Lowest);
  while (!Of.Notes.empty() && Of.Notes.begin()->first < Of.LowestOpen)
    this->drop(Of, Of.Notes.begin());
}

void SettlementWitness::dropBilled(Peer &Of) {
  for (auto At = Of.Notes.begin(); At != Of.Notes.end();)
    At = this->Fold.isBilled(At->second.Note.Request) ? this->drop(Of, At)
                                                      : std::next(At);
}

void SettlementWitness::onApplied(const LedgerBody &Body,
                                  const LedgerVerdict &Verdict, TimePoint Now) {
  if (Verdict.Outcome != LedgerOutcome::Accepted)
    return;
  if (std::holds_alternative<EpochMark>(Body))
    this->refreshEpochs();
  const auto *End = std::get_if<IncarnationEnded>(&Body);
  if (!End)
    return;
  this->end(End->Ended);
  this->plan(Now);
}

void SettlementWitness::refreshEpochs() {
  for (auto &[Holder, Of] : this->Peers) {
    for (auto &[Id, Present] : Of.Notes) {
      SettlementNote &Note = Present.Note;
      bool IsKnown =
          this->Fold.epoch() - Note.Epoch <= this->Fold.memoryEpochs();
      if (IsKnown && !this->Fold.isBilled(Note.Request))
        Note.Epoch = this->Fold.epoch();
    }
  }
}

void SettlementWitness::end(Incarnation Holder) {
  // A holder of which no note is here may still name this host its witness.
  Peer &Of = this->Peers[Holder];
  Of.IsEnded = true;
  Of.Teams = this->Fold.teamsOf(Holder);
}

void SettlementWitness::onRestored(TimePoint Now) {
  this->refreshEpochs();
  for (Incarnation Ended : this->Fold.strandedHolders())
    this->end(Ended);
  for (auto &[Holder, Of] : this->Peers)
    Of.IsEnded |= this->Fold.isEnded(Holder);
  this->plan(Now);
}

void SettlementWitness::plan(TimePoint Now) {
  if (this->Fold.isEnded(this->Self))
    return;
  for (auto At = this->Peers.begin(); At != this->Peers.end();) {
    Peer &Of = At->second;
    if (!Of.IsEnded || Now < Of.NextPlan) {
      ++At;
      continue;
    }
    Of.NextPlan = Now + this->Limits.ReportInterval;
    this->dropBilled(Of);
    std::erase_if(Of.Teams, [&](TeamId Team) {
      return !this->Fold.slice(Team, At->first).has_value();
    });
    this->carry(Of);
    this->report(At->first, Of);
    bool IsDone = Of.Teams.empty();
    if (IsDone)
      this->NoteCount -= Of.Notes.size();
    At = IsDone ? this->Peers.erase(At) : std::next(At);
  }
}

void SettlementWitness::report(Incarnation Holder, Peer &Of) {
  Reports Open;
  for (const auto &[Id, Present] : Of.Notes)
    Open[Present.Note.Team] += Present.Note.Tokens;
  for (TeamId Team : Of.Teams) {
    auto Known = this->Fold.slice(Team, Holder);
    if (!Known || !Known.value().Witnesses.contains(this->Self))
      continue;
    // A settlement on its way counts as open until it was read back.
    TokenCount Tokens = Open[Team];
    auto Last = Of.Reported.find(Team);
    if (Last != Of.Reported.end() && Last->second == Tokens)
      continue;
    WitnessReport Body{Team, Holder, Tokens};
    if (this->AppendHook(
            makeLedgerRecord(this->Dice.next128(), this->Self, Body)))
      Of.Reported[Team] = Tokens;
  }
}

void SettlementWitness::carry(Peer &Of) {
  for (auto &[Id, Present] : Of.Notes) {
    if (Present.Note.Kind != NoteKind::Settled || Present.IsQueued)
      continue;
    const SettlementNote &Note = Present.Note;
    Settle Body{Note.Request, Note.Team,    Note.Holder,
                Note.Tokens,  Note.Attempt, Note.Epoch};
    RecordId Record = settleRecordId(Note.Request, Note.Holder, Note.Epoch);
    Present.IsQueued =
        this->AppendHook(makeLedgerRecord(Record, this->Self, Body))
            .has_value();
  }
}

} // namespace bergamothook
