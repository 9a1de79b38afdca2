/// \file
/// Spends the slices of one host in the budgets of one ledger stream.

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

/// What a holder needs from its host.
struct SliceHolderHooks {
  /// Queues a record for the ledger stream. It must be sent until it is read
  /// back, as StreamAppender::submit() does.
  std::function<Result<void>(StreamRecord)> Append;
  /// Sends a note to a witness. Notes may be lost or doubled.
  std::function<void(Incarnation Witness, const SettlementNote &)> SendNote;
  /// Names a live peer of another failure domain as witness; the holder's own
  /// incarnation when there is none.
  /// \p Present, the witness so far, is kept while it lives.
  std::function<Incarnation(Incarnation Present)> ChooseWitness;
  /// The same for a second witness, in the holder's own failure domain, which
  /// answers while the others can't be reached. May be left out.
  std::function<Incarnation(Incarnation Present)> ChooseSecondWitness;
  /// Called whenever a reservation of \p Team that was refused may succeed.
  std::function<void(TeamId Team)> Changed;
};

/// Counts of one holder, for its metrics.
struct SliceHolderCounters {
  std::uint64_t Reserved = 0;
  std::uint64_t RefusedExhausted = 0;
  std::uint64_t RefusedNotInHand = 0;
  std::uint64_t RefusedWitness = 0;
  std::uint64_t SecondBills = 0;
  /// Settlements cut down to their reservation.
  std::uint64_t Overruns = 0;
  /// Tokens of settlements that the fold could not judge.
  TokenCount Disputed = 0;
};

/// What one slice holds at present, in tokens. The sum of the first five is
/// what the fold calls outstanding, as far as the fold has come.
struct LocalSliceView {
  TokenCount Available = 0;
  TokenCount Reserved = 0;
  /// Spent, and not billed in the log yet.
  TokenCount Settling = 0;
  /// On their way back to the budget.
  TokenCount Returning = 0;
  TokenCount Disputed = 0;
  /// Reserved or settling, and not acknowledged by the witness.
  TokenCount Unwitnessed = 0;
  TokenCount UnwitnessedCap = 0;
  WitnessPair Witnesses;
  /// Tokens a second.
  double Rate = 0;
};

/// All slices of one incarnation in one ledger stream. One thread uses it. The
/// owner applies each record to the fold first, and then hands the verdict to
/// onApplied().
class SliceHolder {
public:
  /// \p Fold must outlive the holder.
  SliceHolder(Incarnation Self, const BudgetFold &Fold, SlicePolicy Policy,
              SliceHolderHooks Hooks, std::uint64_t Seed);

  /// Reserves \p WorstCase tokens. No byte of the request may be sent to a
  /// target before. Neither waits nor needs the log when the slice suffices.
  /// After LedgerError::SliceNotInHand or WitnessBehind a further try may
  /// succeed once SliceHolderHooks::Changed was called; see
  /// ReservationWait.h.
  Result<ReservationId> reserve(TeamId Team, RequestId Request,
                                AttemptNumber Attempt, TokenCount WorstCase,
                                TimePoint Now);

  /// Bills the request \p Tokens, by the engine's count. The stream must have
  /// been cancelled at the reservation's limit; more than that is cut off and
  /// counted.
  Result<void> settle(ReservationId Id, TokenCount Tokens, TimePoint Now);

  /// Ends a reservation of which no byte was sent to a target.
  Result<void> release(ReservationId Id, TimePoint Now);

  /// Takes notice that nobody waits for \p Request any longer.
  void abandon(TeamId Team, RequestId Request);

  /// Keeps a slice of \p Team in hand also without any request for it.
  void warm(TeamId Team);

  /// Takes what \p Record did to the fold.
  void onApplied(const StreamRecord &Record, const LedgerVerdict &Verdict,
                 TimePoint Now);

  /// The same for a body that is decoded already.
  void onApplied(const LedgerBody &Body, Incarnation Writer,
                 const LedgerVerdict &Verdict, TimePoint Now);

  /// Takes notice that the fold jumped ahead by a snapshot.
  void onRestored(TimePoint Now);

  /// Takes the answer of a witness.
  void onAcknowledged(const NoteAcknowledgement &Answer, TimePoint Now);

  /// Asks for, and returns, tokens so that each slice follows its demand. Also
  /// marks epochs, repeats notes and moves on to another witness. To be called
  /// every 50 ms to 1 s.
  void planGrants(TimePoint Now);

  /// Begins to hand everything back: no reservation succeeds from here on.
  void beginStop(TimePoint Now);

  /// Tells whether everything was handed back and the farewell is queued.
  bool isDrained() const { return this->HasSaidFarewell; }

  /// Tells whether the log says that this incarnation has ended.
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
    /// The settlement is in the queue of the log.
    bool IsQueued = false;
    /// Another record billed the request.
    bool IsBilledElsewhere = false;
    /// One of the present, and one of the next, witnesses holds a note.
    bool IsWitnessed = false;
    bool IsWitnessedByNext = false;
  };

  struct Want {
    TokenCount Tokens = 0;
    TimePoint Until;
  };

  /// The operation of a slice that is on its way to the log. There is at most
  /// one, so that the fold needs to know only the last one's number.
  enum class Operation : std::uint8_t { None, Grant, Return };

  struct Slice {
    TokenCount Available = 0;
    TokenCount Reserved = 0;
    TokenCount Settling = 0;
    TokenCount Returning = 0;
    TokenCount Disputed = 0;
    TokenCount Unwitnessed = 0;
    TokenCount UnwitnessedByNext = 0;
    /// The cap that the fold knows, and that of the grant on its way.
    TokenCount Cap = 0;
    TokenCount CapOnWay = 0;
    TokenCount Largest = 0;
    std::uint32_t Sequence = 0;
    Operation OnWay = Operation::None;
    /// The witnesses that the fold knows, those of the grant on its way, and
    /// those that are to take over.
    WitnessPair Witnesses;
    WitnessPair WitnessesOnWay;
    WitnessPair NextWitnesses;
    bool IsChangingWitness = false;
    bool IsWarm = false;
    /// Another holder waits for tokens.
    bool IsAskedToReturn = false;
    double Rate = 0;
    TimePoint RateAt{};
    TimePoint LastDemand{};
    TimePoint ExcessSince = TimePoint::max();
    std::map<RequestId, Want> Wants;
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

  Result<void> mayReserve(TeamId Team, RequestId Request,
                          TokenCount WorstCase) const;
  void refreshEpochs();
  void note(ReservationId Id, NoteKind Kind);
  WitnessPair chooseWitnesses(const WitnessPair &Present) const;
  void repeatNotes();
  bool hasWitnessRoom(const Slice &Of, TokenCount Tokens) const;
  void beginWitnessChange(TeamId Team, Slice &Present, const WitnessPair &Next);
  void finishWitnessChange(TeamId Team, Slice &Present);
  void reconcile(TeamId Team, Slice &Present);
  void finishGrant(TeamId Team, Slice &Present, LedgerOutcome Outcome,
                   std::uint32_t Sequence);
  void countWitnessed(Slice &Of, const Reservation &By, TokenCount Sign);
  ReservationId lowestOpen() const;
  void queueSettlement(ReservationId Id);
  void finishSettlement(ReservationId Id, LedgerOutcome Outcome);
  void close(ReservationId Id);
  void notify(TeamId Team);

  void plan(TeamId Team, Slice &Present, TimePoint Now);
  bool planWants(TeamId Team, Slice &Present, TokenCount Target, TimePoint Now);
  bool planTopping(TeamId Team, Slice &Present, TokenCount Target);
  bool planWitness(TeamId Team, Slice &Present);
  bool planReturn(TeamId Team, Slice &Present);
  void planExcess(TeamId Team, Slice &Present, TokenCount Target,
                  TimePoint Now);
  void planStop(TeamId Team, Slice &Present);
  void planEpoch(TimePoint Now);
  void sayFarewell();
  void ask(TeamId Team, Slice &Present, TokenCount Tokens, TokenCount Minimum);
  void giveBack(TeamId Team, Slice &Present, TokenCount Tokens);
  bool append(const LedgerBody &Body);
  void updateRate(Slice &Of, TokenCount Spent, TimePoint Now) const;
  TokenCount capFor(const Slice &Of, TokenCount Asked) const;

  Incarnation Self;
  const BudgetFold &Fold;
  SlicePolicy Policy;
  SliceHolderHooks Hooks;
  Random Dice;
  std::unordered_map<TeamId, Slice> Slices;
  std::map<ReservationId, Reservation> Reservations;
  std::unordered_map<RequestId, ReservationId> ByRequest;
  std::uint64_t NextReservation = 1;
  bool IsFenced = false;
  bool IsStopping = false;
  bool HasSaidFarewell = false;
  LedgerEpoch MarkedEpoch = 0;
  TimePoint NextEpochMark{};
  TimePoint NextNoteRepeat{};
  SliceHolderCounters Counters;
};

} // namespace bergamothook

#endif
