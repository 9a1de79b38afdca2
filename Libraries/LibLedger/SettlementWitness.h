/// \file
/// Holds the settlement notes of peers, and carries them to the log when a peer
/// has ended.

#ifndef BERGAMOTHOOK_LIBLEDGER_SETTLEMENTWITNESS_H
#define BERGAMOTHOOK_LIBLEDGER_SETTLEMENTWITNESS_H

#include "LibBase/Random.h"
#include "LibLedger/BudgetFold.h"
#include "LibLedger/SettlementNote.h"

#include <functional>
#include <map>

namespace bergamothook {

struct SettlementWitnessLimits {
  /// The most notes that are held for all peers together.
  std::size_t MaxNotes = 400'000;
  /// How often a report that changed is written.
  Duration ReportInterval = std::chrono::seconds(10);
};

/// The witness that one host is for its peers, in one ledger stream. What it
/// holds is a bounded queue on the way to the log, not a store: a note leaves
/// as soon as the log has its settlement.
class SettlementWitness {
public:
  using Append = std::function<Result<void>(StreamRecord)>;

  /// \p Fold must outlive the witness.
  SettlementWitness(Incarnation Self, const BudgetFold &Fold,
                    SettlementWitnessLimits Limits, Append AppendHook,
                    std::uint64_t Seed);

  /// Takes a note. The answer is to be sent back to the holder.
  /// LedgerError::WitnessFull when no further note can be held,
  /// LedgerError::Fenced when the log says that the holder, or this host, has
  /// ended.
  Result<NoteAcknowledgement> onNote(const SettlementNote &Note);

  /// Takes a record that was applied to the fold.
  void onApplied(const LedgerBody &Body, const LedgerVerdict &Verdict,
                 TimePoint Now);

  /// Takes notice that the fold jumped ahead by a snapshot.
  void onRestored(TimePoint Now);

  /// Carries the settlements of ended peers to the log and reports what is
  /// left. To be called every 50 ms to 1 s.
  void plan(TimePoint Now);

  std::size_t noteCount() const { return this->NoteCount; }

private:
  struct Kept {
    SettlementNote Note;
    bool IsQueued = false;
  };

  /// The tokens that were reported last, by team.
  using Reports = std::map<TeamId, TokenCount>;

  struct Peer {
    std::map<ReservationId, Kept> Notes;
    ReservationId LowestOpen;
    bool IsEnded = false;
    TimePoint NextPlan{};
    /// The teams of which the ended peer has a slice.
    std::vector<TeamId> Teams;
    Reports Reported;
  };

  using Notes = std::map<ReservationId, Kept>;

  void dropBelow(Peer &Of, ReservationId Lowest);
  void dropBilled(Peer &Of);
  void end(Incarnation Holder);
  void refreshEpochs();
  void carry(Peer &Of);
  void report(Incarnation Holder, Peer &Of);
  Notes::iterator drop(Peer &Of, Notes::iterator At);

  Incarnation Self;
  const BudgetFold &Fold;
  SettlementWitnessLimits Limits;
  Append AppendHook;
  Random Dice;
  std::map<Incarnation, Peer> Peers;
  std::size_t NoteCount = 0;
};

} // namespace bergamothook

#endif
