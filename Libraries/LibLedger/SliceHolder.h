/// \file
/// Reservations and settlements on one host's slices of the budgets in one
/// ledger stream.

#ifndef BERGAMOTHOOK_LIBLEDGER_SLICEHOLDER_H
#define BERGAMOTHOOK_LIBLEDGER_SLICEHOLDER_H

#include "LibBase/Random.h"
#include "LibLedger/BudgetFold.h"
#include "LibLedger/SettlementNote.h"
#include "LibLedger/SlicePolicy.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace bergamothook {

/// Functions that the owner provides to a holder.
struct SliceHolderHooks {
  /// Queues a record for the ledger stream. It must be sent repeatedly until it
  /// is read back, as StreamAppender::submit() does.
  std::function<Result<void>(StreamRecord)> Append;
  /// Sends a note to a witness. Notes may be lost or duplicated.
  std::function<void(Incarnation Witness, const SettlementNote &)> SendNote;
  /// Chooses a live peer in another failure domain as witness; the holder's own
  /// incarnation if there is none. Keeps \p Current, the present witness, while
  /// it is alive.
  std::function<Incarnation(Incarnation Current)> ChooseWitness;
  /// Same for a second witness, in the holder's own failure domain, which
  /// responds while other failure domains are unreachable. Optional.
  std::function<Incarnation(Incarnation Current)> ChooseSecondWitness;
  /// Called whenever a refused reservation of \p Team may succeed.
  std::function<void(TeamId Team)> Changed;
};

/// Counters of one holder, for metrics.
struct SliceHolderCounters {
  std::uint64_t Reserved = 0;
  std::uint64_t RefusedExhausted = 0;
  std::uint64_t RefusedNotInHand = 0;
  std::uint64_t RefusedWitness = 0;
  std::uint64_t SecondBills = 0;
  /// Settlements truncated to their reservation.
  std::uint64_t Overruns = 0;
  /// Tokens of settlements that the fold neither accepted nor found billed.
  TokenCount Disputed = 0;
};

/// The current state of one slice, in tokens. The sum of the first five members
/// equals the outstanding tokens of the fold, as far as the fold has read.
struct LocalSliceView {
  TokenCount Available = 0;
  TokenCount Reserved = 0;
  /// Spent, but not yet billed in the log.
  TokenCount Settling = 0;
  /// Being returned to the budget.
  TokenCount Returning = 0;
  TokenCount Disputed = 0;
  /// Reserved or settling, but not acknowledged by a witness.
  TokenCount Unwitnessed = 0;
  TokenCount UnwitnessedCap = 0;
  WitnessPair Witnesses;
  /// Tokens per second.
  double Rate = 0;
};

/// All slices of one incarnation in one ledger stream. Not thread-safe. The
/// owner applies each record to the fold first, then passes the verdict to
/// onApplied().
class SliceHolder {
public:
  /// \p Fold must outlive the holder.
  SliceHolder(Incarnation Self, const BudgetFold &Fold, SlicePolicy Policy,
              SliceHolderHooks Hooks, std::uint64_t Seed);

  /// Reserves \p WorstCase tokens. Must succeed before any byte of the request
  /// is sent to a target. Neither waits nor needs the log if the slice
  /// suffices. After LedgerError::SliceNotInHand or WitnessBehind, a retry may
  /// succeed once SliceHolderHooks::Changed was called; see ReservationWait.h.
  Result<ReservationId> reserve(TeamId Team, RequestId Request,
                                AttemptNumber Attempt, TokenCount WorstCase,
                                TimePoint Now);

  /// Bills \p Tokens, as counted by the engine, for the request. The caller
  /// must have cancelled the stream at the limit of the reservation; tokens
  /// above it are not billed, and the overrun is counted.
  Result<void> settle(ReservationId Id, TokenCount Tokens, TimePoint Now);

  /// Ends a reservation if no byte of its request was sent to a target.
  Result<void> release(ReservationId Id, TimePoint Now);

  /// States that \p Request no longer waits for a reservation.
  void abandon(TeamId Team, RequestId Request);

  /// Keeps a slice of \p Team even without any request for it.
  void warm(TeamId Team);

  /// Handles the effect of \p Record on the fold.
  void onApplied(const StreamRecord &Record, const LedgerVerdict &Verdict,
                 TimePoint Now);

  /// Same as above for a decoded body.
  void onApplied(const LedgerBody &Body, Incarnation Writer,
                 const LedgerVerdict &Verdict, TimePoint Now);

  /// Must be called after the fold was restored from a snapshot.
  void onRestored(TimePoint Now);

  /// Handles the acknowledgement of a witness.
  void onAcknowledged(const NoteAcknowledgement &Answer, TimePoint Now);

  /// Requests and returns tokens, so that each slice follows its demand. Also
  /// appends epoch marks, resends notes and replaces witnesses. Call this every
  /// 50 ms to 1 s.
  void planGrants(TimePoint Now);

  /// Starts to return everything. No reservation succeeds from here on.
  void beginStop(TimePoint Now);

  /// \returns whether everything was returned and the record that ends this
  /// incarnation is queued.
  bool isDrained() const { return this->HasQueuedShutdown; }

  /// \returns whether this incarnation has ended according to the log.
  bool isFenced() const { return this->IsFenced; }

  LocalSliceView slice(TeamId Team) const;
  std::size_t reservationCount() const { return this->Reservations.size(); }
  const SliceHolderCounters &counters() const { return this->Counters; }
  Incarnation self() const { return this->Self; }

private:
  struct Reservation {
    RequestId Request;
    TeamId Team;
    TokenCount Tokens = 0;
    AttemptNumber Attempt;
    LedgerEpoch Epoch = 0;
    bool IsSettling = false;
    /// The settlement is queued for the log.
    bool IsQueued = false;
    /// Another record billed the request.
    bool IsBilledElsewhere = false;
    /// Whether one of the current, or of the next, witnesses stores a note.
    bool IsWitnessed = false;
    bool IsWitnessedByNext = false;
  };

  struct WaitingReservation {
    TokenCount Tokens = 0;
    TimePoint Until;
  };

  /// The operation of a slice that is in flight to the log. There is at most
  /// one, so that the fold only needs to store the last sequence number.
  enum class Operation : std::uint8_t { None, Grant, Return };

  struct Slice {
    TokenCount Available = 0;
    TokenCount Reserved = 0;
    TokenCount Settling = 0;
    TokenCount Returning = 0;
    TokenCount Disputed = 0;
    TokenCount Unwitnessed = 0;
    TokenCount UnwitnessedByNext = 0;
    /// The cap that the fold knows, and that of the grant in flight.
    TokenCount Cap = 0;
    TokenCount InFlightCap = 0;
    TokenCount LargestReservation = 0;
    std::uint32_t Sequence = 0;
    Operation InFlight = Operation::None;
    /// The witnesses that the fold knows, those of the grant in flight, and
    /// those that will replace them.
    WitnessPair Witnesses;
    WitnessPair InFlightWitnesses;
    WitnessPair NextWitnesses;
    bool IsChangingWitness = false;
    bool IsKeptWarm = false;
    /// Another holder waits for tokens.
    bool IsReturnRequested = false;
    double Rate = 0;
    TimePoint RateUpdatedAt{};
    TimePoint LastDemand{};
    TimePoint ExcessSince = TimePoint::max();
    std::map<RequestId, WaitingReservation> WaitingReservations;
  };

  void applyBody(const GrantRequest &Body, Incarnation Writer,
                 const LedgerVerdict &Verdict, TimePoint Now);
  void applyBody(const Settle &Body, Incarnation Writer,
                 const LedgerVerdict &Verdict, TimePoint Now);
  void applyBody(const SliceReturn &Body, Incarnation Writer,
                 const LedgerVerdict &Verdict, TimePoint Now);
  void applyBody(const IncarnationEnded &Body, Incarnation Writer,
                 const LedgerVerdict &Verdict, TimePoint Now);
  void applyBody(const EpochMark &Body, Incarnation Writer,
                 const LedgerVerdict &Verdict, TimePoint Now);
  template <typename Body>
  void applyBody(const Body &, Incarnation, const LedgerVerdict &, TimePoint) {}

  Result<void> checkReservable(TeamId Team, RequestId Request,
                               TokenCount WorstCase) const;
  void refreshEpochs();
  void sendNote(ReservationId Id, NoteKind Kind);
  WitnessPair chooseWitnesses(const WitnessPair &Current) const;
  void resendNotes();
  bool fitsUnwitnessedCap(const Slice &LocalSlice, TokenCount Tokens) const;
  void beginWitnessChange(TeamId Team, Slice &LocalSlice,
                          const WitnessPair &Next);
  void finishWitnessChange(TeamId Team, Slice &LocalSlice);
  void reconcile(TeamId Team, Slice &LocalSlice);
  void finishGrant(TeamId Team, Slice &LocalSlice, LedgerOutcome Outcome,
                   std::uint32_t Sequence);
  void countWitnessed(Slice &LocalSlice, const Reservation &Counted,
                      TokenCount Sign);
  ReservationId lowestOpen() const;
  void queueSettlement(ReservationId Id);
  void finishSettlement(ReservationId Id, LedgerOutcome Outcome);
  void close(ReservationId Id);
  void notify(TeamId Team);

  void plan(TeamId Team, Slice &LocalSlice, TimePoint Now);
  bool planWaitingReservations(TeamId Team, Slice &LocalSlice,
                               TokenCount Target, TimePoint Now);
  bool planRefill(TeamId Team, Slice &LocalSlice, TokenCount Target);
  bool planWitness(TeamId Team, Slice &LocalSlice);
  bool planReturn(TeamId Team, Slice &LocalSlice);
  void planExcess(TeamId Team, Slice &LocalSlice, TokenCount Target,
                  TimePoint Now);
  void planStop(TeamId Team, Slice &LocalSlice);
  void planEpoch(TimePoint Now);
  void queueShutdownRecord();
  void requestGrant(TeamId Team, Slice &LocalSlice, TokenCount Tokens,
                    TokenCount Minimum);
  void returnTokens(TeamId Team, Slice &LocalSlice, TokenCount Tokens);
  bool append(const LedgerBody &Body);
  void updateRate(Slice &LocalSlice, TokenCount Spent, TimePoint Now) const;
  TokenCount capFor(const Slice &LocalSlice, TokenCount Asked) const;

  Incarnation Self;
  const BudgetFold &Fold;
  SlicePolicy Policy;
  SliceHolderHooks Hooks;
  Random Rng;
  std::unordered_map<TeamId, Slice> Slices;
  std::map<ReservationId, Reservation> Reservations;
  std::unordered_map<RequestId, ReservationId> ReservationByRequest;
  std::uint64_t NextReservation = 1;
  bool IsFenced = false;
  bool IsStopping = false;
  bool HasQueuedShutdown = false;
  LedgerEpoch MarkedEpoch = 0;
  TimePoint NextEpochMark{};
  TimePoint NextNoteResend{};
  SliceHolderCounters Counters;
};

} // namespace bergamothook

#endif
