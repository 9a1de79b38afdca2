/// \file
/// The budgets as one host spends them: for each ledger stream the fold, the
/// reader, the writer and the holder of this host's slices.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_BUDGETMANAGER_H
#define BERGAMOTHOOK_SERVICES_ROUTER_BUDGETMANAGER_H

#include "LibLedger/SettlementWitness.h"
#include "LibLedger/SliceHolder.h"
#include "LogStreamClient.h"

#include <memory>
#include <set>

namespace bergamothook {

/// A reservation and the stream that it belongs to.
struct ShardReservation {
  std::uint32_t Shard = 0;
  ReservationId Id;
};

struct BudgetManagerSettings {
  std::uint32_t Shards = 1;
  SlicePolicy Policy;
  Duration PlanInterval = std::chrono::milliseconds(50);
};

/// What the desk needs from its host.
struct BudgetManagerHooks {
  LogHooks Log;
  Runtime Tasks;
  std::function<void(Incarnation Witness, const SettlementNote &)> SendNote;
  /// Names the first witness, of another failure domain, and the second, of
  /// this host's own, so that a partition between domains leaves one of them.
  std::function<Incarnation(Incarnation Present)> ChooseWitness;
  std::function<Incarnation(Incarnation Present)> ChooseSecondWitness;
};

/// All budgets of one host. All calls come from tasks of one runtime.
class BudgetManager {
public:
  BudgetManager(Incarnation Self, BudgetManagerSettings Settings,
                BudgetManagerHooks Hooks, std::uint64_t Seed);

  /// Starts the tasks of all streams.
  void start();

  /// Hands all slices back; the tasks end at \p Deadline at the latest.
  /// Blocks the calling task until that is on the log.
  void stop(TimePoint Deadline);

  /// Reserves \p Tokens, waiting until \p Deadline for tokens that are on
  /// their way.
  Result<ShardReservation> reserve(TeamId Account, RequestId Request,
                                   TokenCount Tokens, TimePoint Deadline);

  void settle(const ShardReservation &Held, TokenCount Tokens);
  void release(const ShardReservation &Held);
  void onAcknowledged(const NoteAcknowledgement &Answer);

  /// Takes the note of a peer whose witness this host is.
  Result<NoteAcknowledgement> onNote(const SettlementNote &Note);

  /// The incarnations of this host that hold slices and are not known to have
  /// ended.
  std::set<Incarnation> openPredecessors() const;

  /// Records that \p Gone will never run again. This host holds the exclusive
  /// port of \p Gone on the same boot of the same machine.
  void declareSucceeded(Incarnation Gone);

  /// Keeps tokens of \p Account in hand before the first request comes.
  void warm(TeamId Account);

  /// Tells whether every ledger was read to its end once.
  bool hasCaughtUp() const;

  bool isBilled(TeamId Account, RequestId Request) const;
  const BudgetFold &foldOf(TeamId Account) const;
  LocalSliceView localSlice(TeamId Account) const;
  StreamAppenderHealth health() const;
  std::size_t reservations() const;
  std::uint32_t shards() const {
    return static_cast<std::uint32_t>(this->Ledgers.size());
  }
  const BudgetFold &fold(std::uint32_t Shard) const {
    return this->Ledgers[Shard]->Fold;
  }

private:
  struct Ledger {
    Ledger(BudgetManager &Desk, std::uint32_t Shard, Incarnation Self,
           std::uint64_t Seed);

    BudgetFold Fold;
    LogStreamClient Link;
    SliceHolder Holder;
    SettlementWitness Witness;
  };

  void apply(std::uint32_t Shard, const StreamRecord &Record,
             RecordPosition At);
  StreamSnapshotHooks snapshotHooks(std::uint32_t Shard);
  SliceHolderHooks holderHooks(std::uint32_t Shard);
  Ledger &ledgerOf(TeamId Account) const;
  void collectPredecessors(const BudgetFold &Fold, TeamId Account,
                           std::set<Incarnation> &Found) const;
  void runPlans();

  Incarnation Self;
  BudgetManagerSettings Settings;
  BudgetManagerHooks Hooks;
  Random Dice;
  std::vector<std::unique_ptr<Ledger>> Ledgers;
  Event Changed;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
