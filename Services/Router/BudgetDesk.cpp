#include "BudgetDesk.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
const AttemptNumber FirstAttempt{1};

bool mayChange(std::error_code Refusal) {
  return Refusal == LedgerError::SliceNotInHand ||
         Refusal == LedgerError::WitnessBehind;
}

} // namespace

BudgetDesk::Ledger::Ledger(BudgetDesk &Desk, std::uint32_t Shard,
                           Incarnation Self, std::uint64_t Seed)
    : Link(ledgerStreamName(Shard), Desk.Hooks.Log, Desk.Hooks.Tasks,
           followerHooksFor(
               ledgerStreamName(Shard),
               [&Desk, Shard](const StreamRecord &Record, RecordPosition At) {
                 Desk.apply(Shard, Record, At);
               }),
           Desk.snapshotHooks(Shard), Seed),
      Holder(Self, this->Fold, Desk.Settings.Policy, Desk.holderHooks(Shard),
             Seed),
      Witness(
          Self, this->Fold, {},
          [&Desk, Shard](StreamRecord Record) {
            return Desk.Ledgers[Shard]->Link.Appender.submit(std::move(Record));
          },
          Seed) {}

BudgetDesk::BudgetDesk(Incarnation Self, BudgetDeskSettings Settings,
                       BudgetDeskHooks Hooks, std::uint64_t Seed)
    : Self(Self), Settings(Settings), Hooks(std::move(Hooks)), Dice(Seed) {
  for (std::uint32_t Shard = 0; Shard < Settings.Shards; ++Shard)
    this->Ledgers.push_back(
        std::make_unique<Ledger>(*this, Shard, Self, Seed + Shard));
}

void BudgetDesk::apply(std::uint32_t Shard, const StreamRecord &Record,
                       RecordPosition At) {
  Ledger &Of = *this->Ledgers[Shard];
  const LedgerVerdict &Verdict = Of.Fold.apply(Record, At);
  TimePoint Now = this->Hooks.Tasks.Now();
  auto Body = decodeLedgerBody(Record);
  if (Body)
    Of.Witness.onApplied(Body.value(), Verdict, Now);
  Of.Holder.onApplied(Record, Verdict, Now);
}

StreamSnapshotHooks BudgetDesk::snapshotHooks(std::uint32_t Shard) {
  StreamSnapshotHooks Made;
  Made.Encode = [this, Shard] { return this->Ledgers[Shard]->Fold.snapshot(); };
  Made.Restore = [this, Shard](std::string_view Content) -> Result<void> {
    Ledger &Of = *this->Ledgers[Shard];
    BOOST_OUTCOME_TRYV(Of.Fold.restore(Content));
    TimePoint Now = this->Hooks.Tasks.Now();
    Of.Holder.onRestored(Now);
    Of.Witness.onRestored(Now);
    return success();
  };
  return Made;
}

SliceHolderHooks BudgetDesk::holderHooks(std::uint32_t Shard) {
  SliceHolderHooks Made;
  Made.Append = [this, Shard](StreamRecord Record) {
    return this->Ledgers[Shard]->Link.Appender.submit(std::move(Record));
  };
  Made.SendNote = this->Hooks.SendNote;
  Made.ChooseWitness = this->Hooks.ChooseWitness;
  Made.ChooseSecondWitness = this->Hooks.ChooseSecondWitness;
  Made.Changed = [this](TeamId) { this->Changed.notify(); };
  return Made;
}

void BudgetDesk::start() {
  const Runtime &Tasks = this->Hooks.Tasks;
  for (auto &Of : this->Ledgers)
    Of->Link.start();
  Tasks.Spawn([this] { this->runPlans(); });
}

void BudgetDesk::runPlans() {
  const Runtime &Tasks = this->Hooks.Tasks;
  while (!this->IsStopping) {
    for (auto &Of : this->Ledgers) {
      if (!Of->Link.Follower.hasCaughtUp())
        continue;
      Of->Holder.planGrants(Tasks.Now());
      Of->Witness.plan(Tasks.Now());
    }
    Tasks.sleepUntil(Tasks.Now() + this->Settings.PlanInterval);
  }
}

void BudgetDesk::stop(TimePoint Deadline) {
  const Runtime &Tasks = this->Hooks.Tasks;
  for (auto &Of : this->Ledgers)
    Of->Holder.beginStop(Tasks.Now());
  auto IsDone = [this] {
    for (const auto &Of : this->Ledgers)
      if (!Of->Holder.isDrained() || Of->Link.Appender.health().Queued > 0)
        return false;
    return true;
  };
  while (!IsDone() && Tasks.Now() < Deadline)
    Tasks.sleepUntil(Tasks.Now() + StopCheckInterval);
  this->IsStopping = true;
  for (auto &Of : this->Ledgers)
    Of->Link.stop(Deadline);
}

Result<HeldReservation> BudgetDesk::reserve(TeamId Account, RequestId Request,
                                            TokenCount Tokens,
                                            TimePoint Deadline) {
  const Runtime &Tasks = this->Hooks.Tasks;
  Ledger &Of = this->ledgerOf(Account);
  Result<ReservationId> Held = LedgerError::SliceNotInHand;
  Tasks.waitUntil(this->Changed, Deadline, [&] {
    Held =
        Of.Holder.reserve(Account, Request, FirstAttempt, Tokens, Tasks.Now());
    return Held.has_value() || !mayChange(Held.error());
  });
  if (!Held) {
    Of.Holder.abandon(Account, Request);
    return Held.error();
  }
  return HeldReservation{ledgerShardOf(Account, this->Settings.Shards),
                         Held.value()};
}

void BudgetDesk::settle(const HeldReservation &Held, TokenCount Tokens) {
  auto Settled = this->Ledgers[Held.Shard]->Holder.settle(
      Held.Id, Tokens, this->Hooks.Tasks.Now());
  if (!Settled)
    logEvent(LogLevel::Error, "settlement_refused",
             {{"reason", Settled.error().message()}});
}

void BudgetDesk::release(const HeldReservation &Held) {
  auto Released = this->Ledgers[Held.Shard]->Holder.release(
      Held.Id, this->Hooks.Tasks.Now());
  if (!Released)
    logEvent(LogLevel::Error, "release_refused",
             {{"reason", Released.error().message()}});
}

void BudgetDesk::onAcknowledged(const NoteAcknowledgement &Answer) {
  for (auto &Of : this->Ledgers)
    Of->Holder.onAcknowledged(Answer, this->Hooks.Tasks.Now());
}

Result<NoteAcknowledgement> BudgetDesk::onNote(const SettlementNote &Note) {
  return this->ledgerOf(Note.Team).Witness.onNote(Note);
}

std::set<Incarnation> BudgetDesk::openPredecessors() const {
  std::set<Incarnation> Found;
  for (const auto &Of : this->Ledgers)
    for (TeamId Account : Of->Fold.teams())
      this->collectPredecessors(Of->Fold, Account, Found);
  return Found;
}

void BudgetDesk::collectPredecessors(const BudgetFold &Fold, TeamId Account,
                                     std::set<Incarnation> &Found) const {
  auto View = Fold.view(Account);
  if (!View)
    return;
  for (const SliceView &Slice : View.value().Slices) {
    bool IsEarlierRun = Slice.Holder.Host == this->Self.Host &&
                        Slice.Holder.Run != this->Self.Run;
    if (IsEarlierRun && !Slice.IsEnded)
      Found.insert(Slice.Holder);
  }
}

void BudgetDesk::declareSucceeded(Incarnation Gone) {
  IncarnationEnded Ended{Gone, EndEvidence::Successor, ""};
  for (auto &Of : this->Ledgers) {
    auto Queued = Of->Link.Appender.submit(
        makeLedgerRecord(this->Dice.next128(), this->Self, Ended));
    if (!Queued)
      logEvent(LogLevel::Error, "end_of_predecessor_not_recorded",
               {{"run", Gone.Run}, {"reason", Queued.error().message()}});
  }
}

void BudgetDesk::warm(TeamId Account) {
  this->ledgerOf(Account).Holder.warm(Account);
}

bool BudgetDesk::hasCaughtUp() const {
  for (const auto &Of : this->Ledgers)
    if (!Of->Link.Follower.hasCaughtUp())
      return false;
  return true;
}

bool BudgetDesk::isBilled(TeamId Account, RequestId Request) const {
  return this->ledgerOf(Account).Fold.isBilled(Request);
}

const BudgetFold &BudgetDesk::foldOf(TeamId Account) const {
  return this->ledgerOf(Account).Fold;
}

LocalSliceView BudgetDesk::localSlice(TeamId Account) const {
  return this->ledgerOf(Account).Holder.slice(Account);
}

StreamAppenderHealth BudgetDesk::health() const {
  StreamAppenderHealth Sum;
  for (const auto &Of : this->Ledgers) {
    StreamAppenderHealth One = Of->Link.Appender.health();
    Sum.Appends += One.Appends;
    Sum.Failures += One.Failures;
    Sum.Queued += One.Queued;
    Sum.ConsecutiveFailures =
        std::max(Sum.ConsecutiveFailures, One.ConsecutiveFailures);
  }
  return Sum;
}

std::size_t BudgetDesk::reservations() const {
  std::size_t Sum = 0;
  for (const auto &Of : this->Ledgers)
    Sum += Of->Holder.reservationCount();
  return Sum;
}

BudgetDesk::Ledger &BudgetDesk::ledgerOf(TeamId Account) const {
  return *this->Ledgers[ledgerShardOf(Account, this->Settings.Shards)];
}

} // namespace bergamothook
