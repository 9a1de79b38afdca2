/// \file
/// Deterministic simulation of several hosts on one ledger stream. Records and
/// notes pass through queues, which a test may delay, duplicate or drop.

#ifndef BERGAMOTHOOK_TESTS_LIBLEDGER_LEDGERFLEET_H
#define BERGAMOTHOOK_TESTS_LIBLEDGER_LEDGERFLEET_H

#include "LibLedger/SettlementWitness.h"
#include "LibLedger/SliceHolder.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace bergamothook {

inline constexpr TeamId TestTeam{42};

/// One host with its fold, its slices and its outgoing queues.
struct LedgerHost {
  LedgerHost(Incarnation Self, SlicePolicy Policy, Incarnation Witness)
      : Self(Self), WitnessChoice(Witness),
        Holder(Self, this->Fold, Policy, this->hooks(), Self.Host.Value),
        WitnessRole(
            Self, this->Fold, {},
            [this](StreamRecord Record) -> Result<void> {
              return this->append(std::move(Record));
            },
            Self.Host.Value + 1) {}

  SliceHolderHooks hooks() {
    SliceHolderHooks Hooks;
    Hooks.Append = [this](StreamRecord Record) -> Result<void> {
      return this->append(std::move(Record));
    };
    Hooks.SendNote = [this](Incarnation To, const SettlementNote &Note) {
      this->Notes.emplace_back(To, Note);
    };
    Hooks.ChooseWitness = [this](Incarnation) { return this->WitnessChoice; };
    return Hooks;
  }

  Result<void> append(StreamRecord Record) {
    this->Queue.push_back(std::move(Record));
    return success();
  }

  Incarnation Self;
  Incarnation WitnessChoice;
  BudgetFold Fold{3};
  SliceHolder Holder;
  SettlementWitness WitnessRole;
  std::deque<StreamRecord> Queue;
  std::deque<std::pair<Incarnation, SettlementNote>> Notes;
  std::size_t Read = 0;
  bool IsDead = false;
};

/// The stream and its hosts. Host N has the incarnation {N, 1}, and the next
/// host is its witness.
class LedgerFleet {
public:
  explicit LedgerFleet(std::size_t Count, SlicePolicy Policy = smallPolicy())
      : Policy(Policy) {
    for (std::uint64_t Number = 1; Number <= Count; ++Number)
      this->Hosts.push_back(std::make_unique<LedgerHost>(
          idOf(Number), Policy, idOf(Number % Count + 1)));
  }

  static Incarnation idOf(std::uint64_t Number, std::uint64_t Run = 1) {
    return {HostId{Number}, Run};
  }

  static SlicePolicy smallPolicy() {
    SlicePolicy TestPolicy;
    TestPolicy.FleetHosts = 3;
    TestPolicy.SmallestTarget = 100;
    TestPolicy.EpochInterval = std::chrono::hours(10);
    return TestPolicy;
  }

  LedgerHost &operator[](std::size_t Number) {
    return *this->Hosts[Number - 1];
  }

  /// Appends a record written by an operator.
  void appendAsOperator(const LedgerBody &Body, std::uint64_t Id = 0) {
    Incarnation Operator{HostId{1000}, 1};
    RecordId Record{7, Id == 0 ? ++this->NextId : Id};
    this->Log.push_back(makeLedgerRecord(Record, Operator, Body));
  }

  void topUp(TokenCount Tokens, std::uint64_t Id = 0) {
    this->appendAsOperator(TopUp{TestTeam, Tokens, 0, "test"}, Id);
  }

  /// Appends all queued records of a host to the log.
  void flushQueue(LedgerHost &From) {
    while (!From.Queue.empty()) {
      this->Log.push_back(From.Queue.front());
      From.Queue.pop_front();
    }
  }

  /// Makes a host read to the end of the log, or to \p Limit.
  void read(LedgerHost &Reader, std::size_t Limit = SIZE_MAX) {
    while (Reader.Read < std::min(Limit, this->Log.size())) {
      const StreamRecord &Record = this->Log[Reader.Read];
      const LedgerVerdict &Verdict =
          Reader.Fold.apply(Record, {Offset{Reader.Read}, 0});
      ++Reader.Read;
      auto Body = decodeLedgerBody(Record);
      Reader.Holder.onApplied(Record, Verdict, this->Now);
      if (Body)
        Reader.WitnessRole.onApplied(Body.value(), Verdict, this->Now);
    }
  }

  /// Delivers the notes of one host, and their acknowledgements.
  void deliverNotes(LedgerHost &From) {
    while (!From.Notes.empty()) {
      auto [To, Note] = From.Notes.front();
      From.Notes.pop_front();
      for (auto &Host : this->Hosts)
        if (Host->Self == To && !Host->IsDead)
          if (auto Answer = Host->WitnessRole.onNote(Note))
            From.Holder.onAcknowledged(Answer.value(), this->Now);
    }
  }

  /// Runs one round on all live hosts, with the log and all links available.
  void round(Duration Passed = std::chrono::milliseconds(100)) {
    this->Now += Passed;
    for (auto &Host : this->Hosts) {
      if (Host->IsDead)
        continue;
      this->read(*Host);
      Host->Holder.planGrants(this->Now);
      Host->WitnessRole.plan(this->Now);
      this->deliverNotes(*Host);
      this->flushQueue(*Host);
    }
  }

  void rounds(int Count) {
    for (int Left = Count; Left > 0; --Left)
      this->round();
  }

  Result<ReservationId> reserve(LedgerHost &Host, std::uint64_t Request,
                                TokenCount Tokens) {
    return Host.Holder.reserve(TestTeam, RequestId{1, Request},
                               AttemptNumber{1}, Tokens, this->Now);
  }

  /// Reserves, running up to \p Rounds rounds until it succeeds.
  Result<ReservationId> reserveSoon(LedgerHost &Host, std::uint64_t Request,
                                    TokenCount Tokens, int Rounds = 30) {
    auto Reservation = this->reserve(Host, Request, Tokens);
    for (int Left = Rounds; !Reservation && Left > 0; --Left) {
      this->round();
      Reservation = this->reserve(Host, Request, Tokens);
    }
    return Reservation;
  }

  Result<void> settle(LedgerHost &Host, ReservationId Id, TokenCount Tokens) {
    return Host.Holder.settle(Id, Tokens, this->Now);
  }

  /// \returns the budget according to the whole log. Also checks the invariant
  /// at each offset.
  BudgetView view() {
    BudgetFold FullFold(3);
    std::uint64_t At = 0;
    for (const auto &Record : this->Log) {
      FullFold.apply(Record, {Offset{At++}, 0});
      this->IsConsistent &= FullFold.verify().empty();
    }
    this->IsConsistent &= FullFold.counters().Violations == 0;
    this->IsConsistent &= FullFold.counters().Overdraws == 0;
    auto View = FullFold.view(TestTeam);
    return View ? View.value() : BudgetView{};
  }

  std::vector<std::unique_ptr<LedgerHost>> Hosts;
  std::vector<StreamRecord> Log;
  TimePoint Now{std::chrono::hours(1)};
  SlicePolicy Policy;
  bool IsConsistent = true;
  std::uint64_t NextId = 0;
};

} // namespace bergamothook

#endif
