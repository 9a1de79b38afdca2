#include "BudgetManager.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
const AttemptNumber FirstAttempt{1};

bool isRetryable(std::error_code Error) {
  return Error == LedgerError::SliceNotInHand ||
         Error == LedgerError::WitnessBehind;
}

} // namespace

BudgetManager::LedgerShard::LedgerShard(BudgetManager &Manager,
                                        std::uint32_t Shard, Incarnation Self,
                                        std::uint64_t Seed)
    : Stream(ledgerStreamName(Shard), Manager.Hooks.Log, Manager.Hooks.Tasks,
             makeFollowerHooks(ledgerStreamName(Shard),
                               [&Manager, Shard](const StreamRecord &Record,
                                                 RecordPosition Position) {
                                 Manager.apply(Shard, Record, Position);
                               }),
             Manager.snapshotHooks(Shard), Seed),
      Holder(Self, this->Fold, Manager.Settings.Policy,
             Manager.holderHooks(Shard), Seed),
      Witness(
          Self, this->Fold, {},
          [&Manager, Shard](StreamRecord Record) {
            return Manager.Ledgers[Shard]->Stream.Appender.submit(
                std::move(Record));
          },
          Seed) {}

BudgetManager::BudgetManager(Incarnation Self, BudgetManagerSettings Settings,
                             BudgetManagerHooks Hooks, std::uint64_t Seed)
    : Self(Self), Settings(Settings), Hooks(std::move(Hooks)), Rng(Seed) {
  for (std::uint32_t Shard = 0; Shard < Settings.Shards; ++Shard)
    this->Ledgers.push_back(
        std::make_unique<LedgerShard>(*this, Shard, Self, Seed + Shard));
}

void BudgetManager::apply(std::uint32_t Shard, const StreamRecord &Record,
                          RecordPosition Position) {
  LedgerShard &Ledger = *this->Ledgers[Shard];
  const LedgerVerdict &Verdict = Ledger.Fold.apply(Record, Position);
  TimePoint Now = this->Hooks.Tasks.Now();
  auto Body = decodeLedgerBody(Record);
  if (Body)
    Ledger.Witness.onApplied(Body.value(), Verdict, Now);
  Ledger.Holder.onApplied(Record, Verdict, Now);
}

StreamSnapshotHooks BudgetManager::snapshotHooks(std::uint32_t Shard) {
  StreamSnapshotHooks SnapshotHooks;
  SnapshotHooks.Encode = [this, Shard] {
    return this->Ledgers[Shard]->Fold.snapshot();
  };
  SnapshotHooks.Restore = [this,
                           Shard](std::string_view Content) -> Result<void> {
    LedgerShard &Ledger = *this->Ledgers[Shard];
    BOOST_OUTCOME_TRYV(Ledger.Fold.restore(Content));
    TimePoint Now = this->Hooks.Tasks.Now();
    Ledger.Holder.onRestored(Now);
    Ledger.Witness.onRestored(Now);
    return success();
  };
  return SnapshotHooks;
}

SliceHolderHooks BudgetManager::holderHooks(std::uint32_t Shard) {
  SliceHolderHooks HolderHooks;
  HolderHooks.Append = [this, Shard](StreamRecord Record) {
    return this->Ledgers[Shard]->Stream.Appender.submit(std::move(Record));
  };
  HolderHooks.SendNote = this->Hooks.SendNote;
  HolderHooks.ChooseWitness = this->Hooks.ChooseWitness;
  HolderHooks.ChooseSecondWitness = this->Hooks.ChooseSecondWitness;
  HolderHooks.Changed = [this](TeamId) { this->SliceChanged.notify(); };
  return HolderHooks;
}

void BudgetManager::start() {
  const Runtime &Tasks = this->Hooks.Tasks;
  for (auto &Ledger : this->Ledgers)
    Ledger->Stream.start();
  Tasks.Spawn([this] { this->runMaintenance(); });
}

void BudgetManager::runMaintenance() {
  const Runtime &Tasks = this->Hooks.Tasks;
  while (!this->IsStopping) {
    for (auto &Ledger : this->Ledgers) {
      if (!Ledger->Stream.Follower.hasCaughtUp())
        continue;
      Ledger->Holder.planGrants(Tasks.Now());
      Ledger->Witness.plan(Tasks.Now());
    }
    Tasks.sleepUntil(Tasks.Now() + this->Settings.MaintenanceInterval);
  }
}

void BudgetManager::stop(TimePoint Deadline) {
  const Runtime &Tasks = this->Hooks.Tasks;
  for (auto &Ledger : this->Ledgers)
    Ledger->Holder.beginStop(Tasks.Now());
  auto IsDone = [this] {
    for (const auto &Ledger : this->Ledgers)
      if (!Ledger->Holder.isDrained() ||
          Ledger->Stream.Appender.health().Queued > 0)
        return false;
    return true;
  };
  while (!IsDone() && Tasks.Now() < Deadline)
    Tasks.sleepUntil(Tasks.Now() + StopCheckInterval);
  this->IsStopping = true;
  for (auto &Ledger : this->Ledgers)
    Ledger->Stream.stop(Deadline);
}

Result<ShardReservation> BudgetManager::reserve(TeamId Account,
                                                RequestId Request,
                                                TokenCount Tokens,
                                                TimePoint Deadline) {
  const Runtime &Tasks = this->Hooks.Tasks;
  LedgerShard &Ledger = this->ledgerOf(Account);
  Result<ReservationId> Reservation = LedgerError::SliceNotInHand;
  Tasks.waitUntil(this->SliceChanged, Deadline, [&] {
    Reservation = Ledger.Holder.reserve(Account, Request, FirstAttempt, Tokens,
                                        Tasks.Now());
    return Reservation.has_value() || !isRetryable(Reservation.error());
  });
  if (!Reservation) {
    Ledger.Holder.abandon(Account, Request);
    return Reservation.error();
  }
  return ShardReservation{ledgerShardOf(Account, this->Settings.Shards),
                          Reservation.value()};
}

void BudgetManager::settle(const ShardReservation &Reservation,
                           TokenCount Tokens) {
  auto Settled = this->Ledgers[Reservation.Shard]->Holder.settle(
      Reservation.Id, Tokens, this->Hooks.Tasks.Now());
  if (!Settled)
    logEvent(LogLevel::Error, "settlement_refused",
             {{"reason", Settled.error().message()}});
}

void BudgetManager::release(const ShardReservation &Reservation) {
  auto Released = this->Ledgers[Reservation.Shard]->Holder.release(
      Reservation.Id, this->Hooks.Tasks.Now());
  if (!Released)
    logEvent(LogLevel::Error, "release_refused",
             {{"reason", Released.error().message()}});
}

void BudgetManager::onAcknowledged(const NoteAcknowledgement &Acknowledgement) {
  for (auto &Ledger : this->Ledgers)
    Ledger->Holder.onAcknowledged(Acknowledgement, this->Hooks.Tasks.Now());
}

Result<NoteAcknowledgement> BudgetManager::onNote(const SettlementNote &Note) {
  return this->ledgerOf(Note.Team).Witness.onNote(Note);
}

std::set<Incarnation> BudgetManager::unendedPredecessors() const {
  std::set<Incarnation> Predecessors;
  for (const auto &Ledger : this->Ledgers)
    for (TeamId Account : Ledger->Fold.teams())
      this->collectPredecessors(Ledger->Fold, Account, Predecessors);
  return Predecessors;
}

void BudgetManager::collectPredecessors(
    const BudgetFold &Fold, TeamId Account,
    std::set<Incarnation> &Predecessors) const {
  auto View = Fold.view(Account);
  if (!View)
    return;
  for (const SliceView &Slice : View.value().Slices) {
    bool IsEarlierRun = Slice.Holder.Host == this->Self.Host &&
                        Slice.Holder.Run != this->Self.Run;
    if (IsEarlierRun && !Slice.IsEnded)
      Predecessors.insert(Slice.Holder);
  }
}

void BudgetManager::recordPredecessorEnd(Incarnation Predecessor) {
  IncarnationEnded Ended{Predecessor, EndEvidence::Successor, ""};
  for (auto &Ledger : this->Ledgers) {
    auto Queued = Ledger->Stream.Appender.submit(
        makeLedgerRecord(this->Rng.next128(), this->Self, Ended));
    if (!Queued)
      logEvent(
          LogLevel::Error, "end_of_predecessor_not_recorded",
          {{"run", Predecessor.Run}, {"reason", Queued.error().message()}});
  }
}

void BudgetManager::warm(TeamId Account) {
  this->ledgerOf(Account).Holder.warm(Account);
}

bool BudgetManager::hasCaughtUp() const {
  for (const auto &Ledger : this->Ledgers)
    if (!Ledger->Stream.Follower.hasCaughtUp())
      return false;
  return true;
}

bool BudgetManager::isBilled(TeamId Account, RequestId Request) const {
  return this->ledgerOf(Account).Fold.isBilled(Request);
}

const BudgetFold &BudgetManager::foldOf(TeamId Account) const {
  return this->ledgerOf(Account).Fold;
}

LocalSliceView BudgetManager::localSlice(TeamId Account) const {
  return this->ledgerOf(Account).Holder.slice(Account);
}

StreamAppenderHealth BudgetManager::health() const {
  StreamAppenderHealth Sum;
  for (const auto &Ledger : this->Ledgers) {
    StreamAppenderHealth Health = Ledger->Stream.Appender.health();
    Sum.Appends += Health.Appends;
    Sum.Failures += Health.Failures;
    Sum.Queued += Health.Queued;
    Sum.ConsecutiveFailures =
        std::max(Sum.ConsecutiveFailures, Health.ConsecutiveFailures);
  }
  return Sum;
}

std::size_t BudgetManager::reservations() const {
  std::size_t Sum = 0;
  for (const auto &Ledger : this->Ledgers)
    Sum += Ledger->Holder.reservationCount();
  return Sum;
}

BudgetManager::LedgerShard &BudgetManager::ledgerOf(TeamId Account) const {
  return *this->Ledgers[ledgerShardOf(Account, this->Settings.Shards)];
}

} // namespace bergamothook
