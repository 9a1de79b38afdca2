/// \file
/// A few hosts over one ledger stream, moved step by step. Everything between
/// them is a queue that a test may hold back, repeat or drop.

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

/// One host: its fold, its slices, and what waits to leave it.
struct LedgerHost {
  LedgerHost(Incarnation Self, SlicePolicy Policy, Incarnation Witness)
      : Self(Self), WitnessChoice(Witness),
        Holder(Self, this->Fold, Policy, this->hooks(), Self.Host.Value),
        Peers(
            Self, this->Fold, {},
            [this](StreamRecord Record) -> Result<void> {
              return this->append(std::move(Record));
            },
            Self.Host.Value + 1) {}

  SliceHolderHooks hooks() {
    SliceHolderHooks Made;
    Made.Append = [this](StreamRecord Record) -> Result<void> {
      return this->append(std::move(Record));
    };
    Made.SendNote = [this](Incarnation To, const SettlementNote &Note) {
      this->Notes.emplace_back(To, Note);
    };
    Made.ChooseWitness = [this](Incarnation) { return this->WitnessChoice; };
    return Made;
  }

  Result<void> append(StreamRecord Record) {
    this->Queue.push_back(std::move(Record));
    return success();
  }

  Incarnation Self;
  Incarnation WitnessChoice;
  BudgetFold Fold{3};
  SliceHolder Holder;
  SettlementWitness Peers;
  std::deque<StreamRecord> Queue;
  std::deque<std::pair<Incarnation, SettlementNote>> Notes;
  std::size_t Read = 0;
  bool IsDead = false;
};

/// The stream and its hosts. Host \p N has the incarnation {N, 1} and the next
/// host as its witness.
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
    SlicePolicy Small;
    Small.FleetHosts = 3;
    Small.SmallestTarget = 100;
    Small.EpochInterval = std::chrono::hours(10);
    return Small;
  }

  LedgerHost &operator[](std::size_t Number) {
    return *this->Hosts[Number - 1];
  }

  /// Appends a record of the operator.
  void operate(const LedgerBody &Body, std::uint64_t Id = 0) {
    Incarnation Operator{HostId{1000}, 1};
    RecordId Record{7, Id == 0 ? ++this->NextId : Id};
    this->Log.push_back(makeLedgerRecord(Record, Operator, Body));
  }

  void topUp(TokenCount Tokens, std::uint64_t Id = 0) {
    this->operate(TopUp{TestTeam, Tokens, 0, "test"}, Id);
  }

  /// Puts all that waits on the host into the log.
  void land(LedgerHost &From) {
    while (!From.Queue.empty()) {
      this->Log.push_back(From.Queue.front());
      From.Queue.pop_front();
    }
  }

  /// Lets the host read up to the end of the log, or to \p Limit.
  void read(LedgerHost &By, std::size_t Limit = SIZE_MAX) {
    while (By.Read < std::min(Limit, this->Log.size())) {
      const StreamRecord &Record = this->Log[By.Read];
      const LedgerVerdict &Verdict =
          By.Fold.apply(Record, {Offset{By.Read}, 0});
      ++By.Read;
      auto Body = decodeLedgerBody(Record);
      By.Holder.onApplied(Record, Verdict, this->Now);
      if (Body)
        By.Peers.onApplied(Body.value(), Verdict, this->Now);
    }
  }

  /// Delivers the notes of one host and the answers to them.
  void deliverNotes(LedgerHost &From) {
    while (!From.Notes.empty()) {
      auto [To, Note] = From.Notes.front();
      From.Notes.pop_front();
      for (auto &Host : this->Hosts)
        if (Host->Self == To && !Host->IsDead)
          if (auto Answer = Host->Peers.onNote(Note))
            From.Holder.onAcknowledged(Answer.value(), this->Now);
    }
  }

  /// One round of everything, with the log up and all links well.
  void round(Duration Passed = std::chrono::milliseconds(100)) {
    this->Now += Passed;
    for (auto &Host : this->Hosts) {
      if (Host->IsDead)
        continue;
      this->read(*Host);
      Host->Holder.planGrants(this->Now);
      Host->Peers.plan(this->Now);
      this->deliverNotes(*Host);
      this->land(*Host);
    }
  }

  void rounds(int Count) {
    for (int Left = Count; Left > 0; --Left)
      this->round();
  }

  Result<ReservationId> reserve(LedgerHost &On, std::uint64_t Request,
                                TokenCount Tokens) {
    return On.Holder.reserve(TestTeam, RequestId{1, Request}, AttemptNumber{1},
                             Tokens, this->Now);
  }

  /// Reserves, with rounds while the slice is too small.
  Result<ReservationId> reserveSoon(LedgerHost &On, std::uint64_t Request,
                                    TokenCount Tokens, int Rounds = 30) {
    auto Made = this->reserve(On, Request, Tokens);
    for (int Left = Rounds; !Made && Left > 0; --Left) {
      this->round();
      Made = this->reserve(On, Request, Tokens);
    }
    return Made;
  }

  Result<void> settle(LedgerHost &On, ReservationId Id, TokenCount Tokens) {
    return On.Holder.settle(Id, Tokens, this->Now);
  }

  /// The budget as a reader of the whole log sees it. Also checks the
  /// invariant at each offset.
  BudgetView view() {
    BudgetFold Fresh(3);
    std::uint64_t At = 0;
    for (const auto &Record : this->Log) {
      Fresh.apply(Record, {Offset{At++}, 0});
      this->IsSound &= Fresh.verify().empty();
    }
    this->IsSound &= Fresh.counters().Violations == 0;
    this->IsSound &= Fresh.counters().Overdraws == 0;
    auto View = Fresh.view(TestTeam);
    return View ? View.value() : BudgetView{};
  }

  std::vector<std::unique_ptr<LedgerHost>> Hosts;
  std::vector<StreamRecord> Log;
  TimePoint Now{std::chrono::hours(1)};
  SlicePolicy Policy;
  bool IsSound = true;
  std::uint64_t NextId = 0;
};

} // namespace bergamothook

#endif
