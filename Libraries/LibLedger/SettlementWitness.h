/// \file
/// Stores the settlement notes of peers, and appends their settlements to the
/// log after a peer has ended.

#ifndef BERGAMOTHOOK_LIBLEDGER_SETTLEMENTWITNESS_H
#define BERGAMOTHOOK_LIBLEDGER_SETTLEMENTWITNESS_H

#include "LibBase/Random.h"
#include "LibLedger/BudgetFold.h"
#include "LibLedger/SettlementNote.h"

#include <functional>
#include <map>

namespace bergamothook {

struct SettlementWitnessLimits {
  /// Maximum number of notes of all peers together.
  std::size_t MaxNotes = 400'000;
  /// Minimum interval between two reports about one peer.
  Duration ReportInterval = std::chrono::seconds(10);
};

/// The witness role of one host for its peers, in one ledger stream. The notes
/// form a bounded queue towards the log, not a store: a note is dropped once
/// the log has its settlement.
class SettlementWitness {
public:
  using Append = std::function<Result<void>(StreamRecord)>;

  /// \p Fold must outlive the witness.
  SettlementWitness(Incarnation Self, const BudgetFold &Fold,
                    SettlementWitnessLimits Limits, Append AppendHook,
                    std::uint64_t Seed);

  /// Stores a note. \returns the acknowledgement to send to the holder,
  /// LedgerError::WitnessFull if no further note can be stored, or
  /// LedgerError::Fenced if the holder or this host has ended according to the
  /// log.
  Result<NoteAcknowledgement> onNote(const SettlementNote &Note);

  /// Handles a record that was applied to the fold.
  void onApplied(const LedgerBody &Body, const LedgerVerdict &Verdict,
                 TimePoint Now);

  /// Must be called after the fold was restored from a snapshot.
  void onRestored(TimePoint Now);

  /// Appends the settlements of ended peers to the log and reports the
  /// remaining open tokens. Call this every 50 ms to 1 s.
  void plan(TimePoint Now);

  std::size_t noteCount() const { return this->NoteCount; }

private:
  struct HeldNote {
    SettlementNote Note;
    bool IsQueued = false;
  };

  /// The last reported tokens, by team.
  using Reports = std::map<TeamId, TokenCount>;

  struct Peer {
    std::map<ReservationId, HeldNote> Notes;
    ReservationId LowestOpen;
    bool IsEnded = false;
    TimePoint NextPlan{};
    /// The teams of which the ended peer holds a slice.
    std::vector<TeamId> Teams;
    Reports Reported;
  };

  using Notes = std::map<ReservationId, HeldNote>;

  void dropClosed(Peer &Source, ReservationId Lowest);
  void dropBilled(Peer &Source);
  void markEnded(Incarnation Holder);
  void refreshEpochs();
  void forwardSettlements(Peer &Source);
  void reportOpenTokens(Incarnation Holder, Peer &Source);
  Notes::iterator drop(Peer &Source, Notes::iterator At);

  Incarnation Self;
  const BudgetFold &Fold;
  SettlementWitnessLimits Limits;
  Append AppendHook;
  Random Rng;
  std::map<Incarnation, Peer> Peers;
  std::size_t NoteCount = 0;
};

} // namespace bergamothook

#endif
