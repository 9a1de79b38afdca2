#include "LibLedger/SettlementWitness.h"

namespace bergamothook {

SettlementWitness::SettlementWitness(Incarnation Self, const BudgetFold &Fold,
                                     SettlementWitnessLimits Limits,
                                     Append AppendHook, std::uint64_t Seed)
    : Self(Self), Fold(Fold), Limits(Limits), AppendHook(std::move(AppendHook)),
      Rng(Seed) {}

Result<NoteAcknowledgement>
SettlementWitness::onNote(const SettlementNote &Note) {
  // Once the end of the holder was read, a report may already be in flight.
  // Further notes would make it incorrect.
  if (this->Fold.isEnded(Note.Holder) || this->Fold.isEnded(this->Self))
    return LedgerError::Fenced;
  NoteAcknowledgement Answer{this->Self, Note.Reservation, Note.Kind};
  Peer &From = this->Peers[Note.Holder];
  this->dropClosed(From, Note.LowestOpen);
  auto Found = From.Notes.find(Note.Reservation);
  if (Note.Kind == NoteKind::Closed) {
    if (Found != From.Notes.end())
      this->drop(From, Found);
    return Answer;
  }
  if (Note.Reservation < From.LowestOpen)
    return Answer;
  if (Found != From.Notes.end()) {
    if (Note.Kind > Found->second.Note.Kind)
      Found->second.Note = Note;
    return Answer;
  }
  if (this->NoteCount >= this->Limits.MaxNotes)
    return LedgerError::WitnessFull;
  From.Notes.emplace(Note.Reservation, HeldNote{Note});
  ++this->NoteCount;
  return Answer;
}

SettlementWitness::Notes::iterator SettlementWitness::drop(Peer &Source,
                                                           Notes::iterator At) {
  --this->NoteCount;
  return Source.Notes.erase(At);
}

void SettlementWitness::dropClosed(Peer &Source, ReservationId Lowest) {
  Source.LowestOpen = std::max(Source.LowestOpen, Lowest);
  while (!Source.Notes.empty() &&
         Source.Notes.begin()->first < Source.LowestOpen)
    this->drop(Source, Source.Notes.begin());
}

void SettlementWitness::dropBilled(Peer &Source) {
  for (auto At = Source.Notes.begin(); At != Source.Notes.end();)
    At = this->Fold.isBilled(At->second.Note.Request) ? this->drop(Source, At)
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
  this->markEnded(End->Ended);
  this->plan(Now);
}

void SettlementWitness::refreshEpochs() {
  for (auto &[Holder, Source] : this->Peers) {
    for (auto &[Id, Held] : Source.Notes) {
      SettlementNote &Note = Held.Note;
      bool IsKnown =
          this->Fold.epoch() - Note.Epoch <= this->Fold.memoryEpochs();
      if (IsKnown && !this->Fold.isBilled(Note.Request))
        Note.Epoch = this->Fold.epoch();
    }
  }
}

void SettlementWitness::markEnded(Incarnation Holder) {
  // Even a holder without notes here may have named this host as its witness.
  Peer &Source = this->Peers[Holder];
  Source.IsEnded = true;
  Source.Teams = this->Fold.teamsOf(Holder);
}

void SettlementWitness::onRestored(TimePoint Now) {
  this->refreshEpochs();
  for (Incarnation Ended : this->Fold.strandedHolders())
    this->markEnded(Ended);
  for (auto &[Holder, Source] : this->Peers)
    Source.IsEnded |= this->Fold.isEnded(Holder);
  this->plan(Now);
}

void SettlementWitness::plan(TimePoint Now) {
  if (this->Fold.isEnded(this->Self))
    return;
  for (auto At = this->Peers.begin(); At != this->Peers.end();) {
    Peer &Source = At->second;
    if (!Source.IsEnded || Now < Source.NextPlan) {
      ++At;
      continue;
    }
    Source.NextPlan = Now + this->Limits.ReportInterval;
    this->dropBilled(Source);
    std::erase_if(Source.Teams, [&](TeamId Team) {
      return !this->Fold.slice(Team, At->first).has_value();
    });
    this->forwardSettlements(Source);
    this->reportOpenTokens(At->first, Source);
    bool IsDone = Source.Teams.empty();
    if (IsDone)
      this->NoteCount -= Source.Notes.size();
    At = IsDone ? this->Peers.erase(At) : std::next(At);
  }
}

void SettlementWitness::reportOpenTokens(Incarnation Holder, Peer &Source) {
  Reports Open;
  for (const auto &[Id, Held] : Source.Notes)
    Open[Held.Note.Team] += Held.Note.Tokens;
  for (TeamId Team : Source.Teams) {
    auto Found = this->Fold.slice(Team, Holder);
    if (!Found || !Found.value().Witnesses.contains(this->Self))
      continue;
    // A settlement in flight counts as open until it was read back.
    TokenCount Tokens = Open[Team];
    auto Last = Source.Reported.find(Team);
    if (Last != Source.Reported.end() && Last->second == Tokens)
      continue;
    WitnessReport Body{Team, Holder, Tokens};
    if (this->AppendHook(
            makeLedgerRecord(this->Rng.next128(), this->Self, Body)))
      Source.Reported[Team] = Tokens;
  }
}

void SettlementWitness::forwardSettlements(Peer &Source) {
  for (auto &[Id, Held] : Source.Notes) {
    if (Held.Note.Kind != NoteKind::Settled || Held.IsQueued)
      continue;
    const SettlementNote &Note = Held.Note;
    Settle Body{Note.Request, Note.Team,    Note.Holder,
                Note.Tokens,  Note.Attempt, Note.Epoch};
    RecordId Record = settleRecordId(Note.Request, Note.Holder, Note.Epoch);
    Held.IsQueued = this->AppendHook(makeLedgerRecord(Record, this->Self, Body))
                        .has_value();
  }
}

} // namespace bergamothook
