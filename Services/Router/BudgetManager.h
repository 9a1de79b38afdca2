/// \file
/// Budget accounting of one host. Each ledger stream has its replicated state,
/// a reader, a writer and the holder of this host's slices.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_BUDGETMANAGER_H
#define BERGAMOTHOOK_SERVICES_ROUTER_BUDGETMANAGER_H

#include "LibLedger/SettlementWitness.h"
#include "LibLedger/SliceHolder.h"
#include "LogStreamClient.h"

#include <memory>
#include <set>

namespace bergamothook {

/// A reservation and the ledger shard that it belongs to.
struct ShardReservation {
  std::uint32_t Shard = 0;
  ReservationId Id;
};

struct BudgetManagerSettings {
  std::uint32_t Shards = 1;
  SlicePolicy Policy;
  Duration MaintenanceInterval = std::chrono::milliseconds(50);
};

/// Functions and services that the owner provides.
struct BudgetManagerHooks {
  LogHooks Log;
  Runtime Tasks;
  std::function<void(Incarnation Witness, const SettlementNote &)> SendNote;
  /// Choose the first witness in another failure domain and the second one in
  /// this host's own, so that one of them stays reachable during a partition
  /// between failure domains. Keep \p Current while it is alive.
  std::function<Incarnation(Incarnation Current)> ChooseWitness;
  std::function<Incarnation(Incarnation Current)> ChooseSecondWitness;
};

/// All budgets of one host. Not thread-safe: all calls must come from tasks of
/// one runtime.
class BudgetManager {
public:
  BudgetManager(Incarnation Self, BudgetManagerSettings Settings,
                BudgetManagerHooks Hooks, std::uint64_t Seed);

  /// Starts the tasks of all streams.
  void start();

  /// Returns all slices and ends the tasks. Blocks the calling task until the
  /// returns are recorded in the log or \p Deadline has passed.
  void stop(TimePoint Deadline);

  /// Reserves \p Tokens. Waits until \p Deadline while tokens granted to this
  /// host may still arrive.
  Result<ShardReservation> reserve(TeamId Account, RequestId Request,
                                   TokenCount Tokens, TimePoint Deadline);

  void settle(const ShardReservation &Reservation, TokenCount Tokens);
  void release(const ShardReservation &Reservation);
  void onAcknowledged(const NoteAcknowledgement &Acknowledgement);

  /// Handles a settlement note from a peer for which this host is a witness.
  Result<NoteAcknowledgement> onNote(const SettlementNote &Note);

  /// \returns the earlier incarnations of this host that hold slices and have
  /// no recorded end.
  std::set<Incarnation> unendedPredecessors() const;

  /// Records in the log that \p Predecessor has ended. Call it only while this
  /// process holds the exclusive port of \p Predecessor on the same boot of the
  /// same machine.
  void recordPredecessorEnd(Incarnation Predecessor);

  /// Acquires a slice of \p Account before the first request arrives.
  void warm(TeamId Account);

  /// \returns whether every ledger stream has been read to its end once.
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
  struct LedgerShard {
    LedgerShard(BudgetManager &Manager, std::uint32_t Shard, Incarnation Self,
                std::uint64_t Seed);

    BudgetFold Fold;
    LogStreamClient Stream;
    SliceHolder Holder;
    SettlementWitness Witness;
  };

  void apply(std::uint32_t Shard, const StreamRecord &Record,
             RecordPosition Position);
  StreamSnapshotHooks snapshotHooks(std::uint32_t Shard);
  SliceHolderHooks holderHooks(std::uint32_t Shard);
  LedgerShard &ledgerOf(TeamId Account) const;
  void collectPredecessors(const BudgetFold &Fold, TeamId Account,
                           std::set<Incarnation> &Predecessors) const;
  void runMaintenance();

  Incarnation Self;
  BudgetManagerSettings Settings;
  BudgetManagerHooks Hooks;
  Random Rng;
  std::vector<std::unique_ptr<LedgerShard>> Ledgers;
  Event SliceChanged;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
