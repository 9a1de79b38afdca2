#include "LedgerFleet.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

/// Runs a fleet with duplicated and late records, dead hosts and top-ups.
/// \returns the fleet with the resulting log.
LedgerFleet runUnderFaults(std::uint64_t Seed, int Rounds) {
  SlicePolicy Policy = LedgerFleet::smallPolicy();
  Policy.EpochInterval = std::chrono::seconds(2);
  LedgerFleet Fleet(4, Policy);
  Random Rng(Seed);
  std::vector<std::pair<std::size_t, ReservationId>> Open;
  std::uint64_t Request = 0;
  Fleet.topUp(3'000);
  for (int Round = 0; Round < Rounds; ++Round) {
    std::size_t Number = 1 + Rng.below(4);
    auto &Active = Fleet[Number];
    // Some requests are repeated on a random host.
    std::uint64_t RequestNumber =
        Rng.chance(0.2) && Request > 5 ? Request - 5 : ++Request;
    if (!Active.IsDead)
      if (auto Id = Fleet.reserve(Active, RequestNumber, 1 + Rng.below(60)))
        Open.emplace_back(Number, Id.value());
    if (!Open.empty() && Rng.chance(0.7)) {
      auto [Host, Id] = Open.front();
      Open.erase(Open.begin());
      if (!Fleet[Host].IsDead)
        (void)Fleet.settle(Fleet[Host], Id, Rng.below(70));
    }
    if (Rng.chance(0.02))
      Fleet.topUp(Rng.below(500), Rng.below(20) + 100);
    if (Rng.chance(0.01) && !Active.IsDead && Number != 1) {
      Active.IsDead = true;
      Fleet.appendAsOperator(
          IncarnationEnded{Active.Self, EndEvidence::Operator, "test"});
    }
    // An append may take effect twice, the second time possibly much later.
    if (!Active.Queue.empty() && Rng.chance(0.3))
      Fleet.Log.push_back(Active.Queue[Rng.below(Active.Queue.size())]);
    if (Fleet.Log.size() > 10 && Rng.chance(0.2))
      Fleet.Log.push_back(Fleet.Log[Rng.below(Fleet.Log.size())]);
    if (Rng.chance(0.5))
      Fleet.round();
    else
      Fleet.Now += std::chrono::milliseconds(50);
  }
  Fleet.rounds(20);
  return Fleet;
}

} // namespace

TEST_CASE("the invariant holds at every offset with all faults combined") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    LedgerFleet Fleet = runUnderFaults(Seed, 400);
    auto View = Fleet.view();
    CHECK(Fleet.IsConsistent);
    CHECK(View.Settled > 0);
    CHECK(View.Settled <= View.ToppedUp);
    for (auto &Host : Fleet.Hosts)
      CHECK(Host->Fold.counters().Overdraws == 0);
  }
}

TEST_CASE("each request is billed at most once with all faults combined") {
  for (std::uint64_t Seed = 21; Seed <= 30; ++Seed) {
    LedgerFleet Fleet = runUnderFaults(Seed, 400);
    BudgetFold Fold(3);
    std::map<RequestId, int> Bills;
    std::uint64_t At = 0;
    for (const auto &Record : Fleet.Log) {
      auto Body = decodeLedgerBody(Record);
      REQUIRE(Body);
      auto Outcome = Fold.apply(Record, {Offset{At++}, 0}).Outcome;
      if (const auto *Bill = std::get_if<Settle>(&Body.value()))
        Bills[Bill->Request] += Outcome == LedgerOutcome::Accepted;
    }
    for (const auto &[Request, Count] : Bills)
      CHECK(Count <= 1);
  }
}

TEST_CASE("restoring a snapshot of any offset gives the same final state") {
  LedgerFleet Fleet = runUnderFaults(3, 150);
  auto ApplyFrom = [&](BudgetFold &Fold, std::size_t From) {
    for (std::size_t At = From; At < Fleet.Log.size(); ++At)
      Fold.apply(Fleet.Log[At], {Offset{At}, 0});
  };
  BudgetFold Whole(3);
  ApplyFrom(Whole, 0);
  BudgetFold Prefix(3);
  for (std::size_t At = 0; At < Fleet.Log.size(); ++At) {
    Prefix.apply(Fleet.Log[At], {Offset{At}, 0});
    BudgetFold Restored(3);
    REQUIRE(Restored.restore(Prefix.snapshot()));
    CHECK(Restored.digest() == Prefix.digest());
    CHECK(Restored.readFrom() == Offset{At});
    // The reader reads the last offset of the snapshot again.
    ApplyFrom(Restored, At);
    CHECK(Restored.digest() == Whole.digest());
  }
}

TEST_CASE("a corrupted snapshot is rejected and leaves the state unchanged") {
  LedgerFleet Fleet = runUnderFaults(4, 100);
  BudgetFold &Fold = Fleet[1].Fold;
  std::string Whole = Fold.snapshot();
  std::uint64_t Before = Fold.digest();
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    CHECK(Fold.restore(Whole.substr(0, Length)).error() ==
          LedgerError::Malformed);
  CHECK(Fold.digest() == Before);
  Random Rng(9);
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Damaged = Whole;
    Damaged[Rng.below(Damaged.size())] = static_cast<char>(Rng.next());
    BudgetFold Restored(3);
    (void)Restored.restore(Damaged);
  }
}

TEST_CASE("a corrupted body is rejected") {
  Settle Body{RequestId{1, 2}, TestTeam, {}, 5, AttemptNumber{1}, 0};
  StreamRecord Record = makeLedgerRecord({}, {}, Body);
  REQUIRE(decodeLedgerBody(Record));
  for (std::uint16_t Kind = 0; Kind < 12; ++Kind)
    for (std::size_t Length = 0; Length < Record.Body.size(); ++Length) {
      StreamRecord Short = Record;
      Short.Kind = Kind;
      Short.Body.resize(Length);
      if (Kind == Record.Kind)
        CHECK_FALSE(decodeLedgerBody(Short));
      else
        (void)decodeLedgerBody(Short);
    }
}

TEST_CASE("a settlement older than the remembered epochs bills nothing") {
  BudgetFold Fold(3);
  Incarnation Holder{HostId{1}, 1};
  std::uint64_t At = 0;
  auto Apply = [&](const LedgerBody &Body) {
    RecordId Id{1, At};
    return Fold.apply(Body, Id, Holder, {Offset{At++}, 0}).Outcome;
  };
  Settle Bill{RequestId{1, 1}, TestTeam, Holder, 10, AttemptNumber{1}, 0};
  CHECK(Apply(TopUp{TestTeam, 100, 0, {}}) == LedgerOutcome::Accepted);
  CHECK(Apply(GrantRequest{TestTeam, 1, 50, 0, {Holder, Holder}, 0}) ==
        LedgerOutcome::Accepted);
  CHECK(Apply(Bill) == LedgerOutcome::Accepted);
  for (LedgerEpoch Epoch = 1; Epoch <= 20; ++Epoch) {
    CHECK(Apply(EpochMark{Epoch}) == LedgerOutcome::Accepted);
    CHECK(Apply(EpochMark{Epoch}) == LedgerOutcome::Duplicate);
    // A duplicate is never billed, whether or not it is still remembered.
    auto Copy = Apply(Bill);
    bool IsRefused =
        Copy == LedgerOutcome::AlreadyBilled || Copy == LedgerOutcome::Late;
    CHECK(IsRefused);
    CHECK((Epoch > 3 || Copy == LedgerOutcome::AlreadyBilled));
  }
  CHECK(Fold.rememberedCount() == 0);
  CHECK(Fold.view(TestTeam).value().Settled == 10);
}

TEST_CASE("a request longer than the remembered epochs is still billed") {
  SlicePolicy Policy = LedgerFleet::smallPolicy();
  Policy.EpochInterval = std::chrono::seconds(1);
  LedgerFleet Fleet(2, Policy);
  Fleet.topUp(10'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  Fleet.rounds(300);
  CHECK(Fleet[1].Fold.epoch() > 2 * Fleet[1].Fold.memoryEpochs());
  CHECK(Fleet.settle(Fleet[1], Id.value(), 70));
  Fleet.rounds(5);
  CHECK(Fleet.view().Settled == 70);
}

TEST_CASE("a late settlement is appended again with a current epoch") {
  SlicePolicy Policy = LedgerFleet::smallPolicy();
  Policy.EpochInterval = std::chrono::seconds(1);
  LedgerFleet Fleet(2, Policy);
  Fleet.topUp(10'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  CHECK(Fleet.settle(Fleet[1], Id.value(), 70));
  // The record stays in the host's queue while the stream advances.
  auto HeldBack = std::move(Fleet[1].Queue);
  Fleet[1].Queue.clear();
  Fleet.rounds(150);
  CHECK(Fleet.view().Settled == 0);
  Fleet[1].Queue = std::move(HeldBack);
  Fleet.rounds(5);
  CHECK(Fleet.view().Settled == 70);
  CHECK(Fleet[1].Holder.counters().Disputed == 0);
}

TEST_CASE("a holder matches its fold again after a snapshot was restored") {
  LedgerFleet Fleet(3);
  Fleet.topUp(100'000);
  auto Open = Fleet.reserveSoon(Fleet[1], 1, 100);
  auto Billed = Fleet.reserveSoon(Fleet[1], 2, 100);
  REQUIRE(Open);
  REQUIRE(Billed);
  CHECK(Fleet.settle(Fleet[1], Billed.value(), 40));
  Fleet.flushQueue(Fleet[1]);
  REQUIRE(Fleet.reserveSoon(Fleet[2], 3, 100));
  // Host 1 reads none of these records; it restores a snapshot of host 2.
  Fleet.read(Fleet[2]);
  REQUIRE(Fleet[1].Fold.restore(Fleet[2].Fold.snapshot()));
  Fleet[1].Read = Fleet[2].Read;
  Fleet[1].Holder.onRestored(Fleet.Now);
  Fleet.rounds(5);
  auto Local = Fleet[1].Holder.slice(TestTeam);
  auto FoldSlice = Fleet[1].Fold.slice(TestTeam, Fleet[1].Self);
  REQUIRE(FoldSlice);
  CHECK(Local.Reserved == 100);
  CHECK(Local.Settling == 0);
  CHECK(Local.Available + Local.Reserved == FoldSlice.value().Outstanding);
  CHECK_FALSE(Fleet[1].Holder.isFenced());
}
