/// \file
/// The state derived from the records of one ledger stream. All readers of the
/// same records compute the same state without further coordination.

#ifndef BERGAMOTHOOK_LIBLEDGER_BUDGETFOLD_H
#define BERGAMOTHOOK_LIBLEDGER_BUDGETFOLD_H

#include "LibLedger/LedgerRecord.h"
#include "LibLedger/RecentIdSet.h"

#include <unordered_map>
#include <vector>

namespace bergamothook {

enum class LedgerOutcome : std::uint8_t {
  /// The record was applied.
  Accepted = 1,
  /// A grant could not be met; its minimum stays as a demand.
  Denied,
  /// A copy of a record that was applied before.
  Duplicate,
  /// Another record billed the request first: the tokens stay in the slice.
  AlreadyBilled,
  /// The record is older than the identifiers that the fold remembers. It is
  /// unknown whether it was applied before, so the tokens stay in the slice.
  Late,
  /// The writer is fenced, or the record is invalid. It has no effect.
  Void,
};

/// Tokens that moved from a budget into a slice.
struct SliceGrant {
  TeamId Team;
  Incarnation Holder;
  TokenCount Tokens = 0;
};

/// The effect of one record.
struct LedgerVerdict {
  LedgerOutcome Outcome = LedgerOutcome::Void;
  /// All resulting grants, including those to other holders whose demands could
  /// be met.
  std::vector<SliceGrant> Grants;
};

struct SliceView {
  Incarnation Holder;
  TokenCount Outstanding = 0;
  TokenCount UnwitnessedCap = 0;
  /// The tokens for which the holder waits; 0 for none.
  TokenCount Demand = 0;
  WitnessPair Witnesses;
  std::uint32_t Sequence = 0;
  /// The holder has ended; its tokens are stranded.
  bool IsEnded = false;
};

/// The state of a budget as shown to operators.
struct BudgetView {
  TokenCount ToppedUp = 0;
  TokenCount Settled = 0;
  TokenCount Unallocated = 0;
  /// Tokens in all slices, including stranded ones.
  TokenCount Outstanding = 0;
  /// Tokens in the slices of ended holders.
  TokenCount Stranded = 0;
  bool IsClosed = false;
  std::vector<SliceView> Slices;
  /// The last record included in the view.
  RecordPosition Position;
};

/// Counts of records by outcome, and of detected inconsistencies.
struct BudgetFoldCounters {
  std::uint64_t Applied = 0;
  std::uint64_t Duplicates = 0;
  std::uint64_t SecondBills = 0;
  std::uint64_t Late = 0;
  std::uint64_t Voided = 0;
  /// Settlements that exceeded their slice. Always 0 unless a holder is faulty.
  std::uint64_t Overdraws = 0;
  /// Records after which the sums of a budget were inconsistent. Always 0.
  std::uint64_t Violations = 0;
  /// Bodies that could not be decoded.
  std::uint64_t Malformed = 0;
};

/// The fold of one ledger stream.
class BudgetFold {
public:
  /// \p MemoryEpochs: the minimum number of epochs for which a billed request
  /// is remembered. All readers of a stream must use the same value.
  explicit BudgetFold(LedgerEpoch MemoryEpochs = DefaultMemoryEpochs);

  static constexpr LedgerEpoch DefaultMemoryEpochs = 60;

  /// Applies the next record of the stream. The verdict is valid until the next
  /// call. A record at or below position() is a Duplicate.
  const LedgerVerdict &apply(const StreamRecord &Record, RecordPosition At);

  /// Same as above for a decoded body.
  const LedgerVerdict &apply(const LedgerBody &Body, RecordId Id,
                             Incarnation Writer, RecordPosition At);

  /// \returns LedgerError::UnknownTeam for a team without a budget.
  Result<BudgetView> view(TeamId Team) const;

  /// The slice of \p Holder in the budget of \p Team, if it has one.
  Result<SliceView> slice(TeamId Team, Incarnation Holder) const;

  /// \returns the unsettled tokens of the team, inside and outside of slices.
  TokenCount unsettled(TeamId Team) const;
  TokenCount unallocated(TeamId Team) const;
  bool isKnown(TeamId Team) const { return this->TeamIndex.contains(Team); }
  bool isClosed(TeamId Team) const;
  /// \returns whether any holder waits for tokens of the team.
  bool hasDemand(TeamId Team) const;
  bool isBilled(RequestId Request) const {
    return this->Memory.contains(Request);
  }
  bool isEnded(Incarnation Holder) const;
  LedgerEpoch epoch() const { return this->Epoch; }
  LedgerEpoch memoryEpochs() const { return this->MemoryEpochs; }
  RecordPosition position() const { return this->Position; }
  /// \returns the offset at which a reader continues after a restore. Records
  /// at that offset which the state already includes are ignored.
  Offset readFrom() const { return this->Position.At; }
  const BudgetFoldCounters &counters() const { return this->Counters; }
  std::vector<TeamId> teams() const;
  /// \returns the teams of which \p Holder has a slice.
  std::vector<TeamId> teamsOf(Incarnation Holder) const;
  /// \returns the ended incarnations that still have slices.
  std::vector<Incarnation> strandedHolders() const;

  /// Recomputes the sums of every budget from its slices. \returns the first
  /// team whose sum is wrong or that has a term below zero, or nothing.
  std::vector<TeamId> verify() const;

  /// \returns a digest that is the same for equal states, whatever their
  /// history.
  std::uint64_t digest() const;

  /// Encodes the whole state.
  std::string snapshot() const;

  /// Replaces the state by that of a snapshot. On an error, it is unchanged.
  Result<void> restore(std::string_view Snapshot);

  std::size_t budgetCount() const { return this->Budgets.size(); }
  std::size_t sliceCount() const;
  std::size_t rememberedCount() const { return this->Memory.size(); }
  /// Memory in use, by purpose.
  std::size_t budgetBytes() const;
  std::size_t sliceBytes() const;
  std::size_t memoryBytes() const { return this->Memory.bytes(); }

private:
  using Index = std::uint32_t;
  static constexpr Index None = ~Index{0};

  static constexpr TokenCount NoReport = -1;

  struct Budget {
    TeamId Team;
    TokenCount ToppedUp = 0;
    TokenCount Settled = 0;
    TokenCount Unallocated = 0;
    TokenCount Outstanding = 0;
    Index FirstSlice = None;
    std::uint16_t Demands = 0;
    bool IsClosed = false;
  };

  struct Slice {
    TokenCount Outstanding = 0;
    TokenCount UnwitnessedCap = 0;
    TokenCount Demand = 0;
    /// Demands are served in ascending order.
    std::uint64_t DemandOrder = 0;
    /// Open tokens that each witness reported after the holder ended.
    TokenCount FirstReport = NoReport;
    TokenCount SecondReport = NoReport;
    Index Holder = None;
    Index FirstWitness = None;
    Index SecondWitness = None;
    Index Next = None;
    std::uint32_t Sequence = 0;
  };

  struct Holder {
    Incarnation Id;
    bool IsEnded = false;
  };

  /// Identifier and writer of the record being applied.
  struct Origin {
    RecordId Id;
    Incarnation Writer;
  };

  LedgerOutcome applyBody(const TopUp &Body, const Origin &From);
  LedgerOutcome applyBody(const GrantRequest &Body, const Origin &From);
  LedgerOutcome applyBody(const Settle &Body, const Origin &From);
  LedgerOutcome applyBody(const SliceReturn &Body, const Origin &From);
  LedgerOutcome applyBody(const IncarnationEnded &Body, const Origin &From);
  LedgerOutcome applyBody(const WitnessReport &Body, const Origin &From);
  LedgerOutcome applyBody(const WriteBack &Body, const Origin &From);
  LedgerOutcome applyBody(const CloseBudget &Body, const Origin &From);
  LedgerOutcome applyBody(const EpochMark &Body, const Origin &From);

  Budget *findBudget(TeamId Team);
  const Budget *findBudget(TeamId Team) const;
  Index findSlice(const Budget &Owner, Incarnation Holder) const;
  Index addSlice(Budget &Owner, Incarnation Holder);
  void removeSlice(Budget &Owner, Index At);
  Index holderIndex(Incarnation Id);
  void transfer(Budget &Owner, Slice &Recipient, TokenCount Tokens);
  void clearDemand(Budget &Owner, Slice &Waiting);
  void serveDemands(Budget &Owner);
  void endSlices(Index Ended);
  bool isLate(LedgerEpoch RecordEpoch) const;
  SliceView viewOf(const Slice &Source) const;
  void check(const Budget &Owner);
  void count(LedgerOutcome Outcome);
  template <typename Archive> void load(Archive &Ar, std::size_t Size);
  template <typename Archive> void loadBudget(Archive &Ar, std::size_t Size);

  LedgerEpoch MemoryEpochs;
  LedgerEpoch Epoch = 0;
  RecordPosition Position;
  bool HasPosition = false;
  std::uint64_t NextDemandOrder = 1;
  std::vector<Budget> Budgets;
  std::unordered_map<TeamId, Index> TeamIndex;
  std::vector<Slice> Slices;
  std::vector<Index> FreeSlices;
  std::vector<Holder> Holders;
  std::unordered_map<Incarnation, Index> HolderIndex;
  RecentIdSet Memory;
  BudgetFoldCounters Counters;
  LedgerVerdict Verdict;
};

} // namespace bergamothook

#endif
