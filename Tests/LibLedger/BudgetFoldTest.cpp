#include "LedgerFleet.h"

#include "LibBase/Random.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

/// Runs a fleet under lost, doubled and late records, deaths and top-ups, and
/// gives the log that came of it.
LedgerFleet runUnderFaults(std::uint64_t Seed, int Rounds) {
  SlicePolicy Policy = LedgerFleet::smallPolicy();
  Policy.EpochInterval = std::chrono::seconds(2);
  LedgerFleet Fleet(4, Policy);
  Random Dice(Seed);
  std::vector<std::pair<std::size_t, ReservationId>> Open;
  std::uint64_t Request = 0;
  Fleet.topUp(3'000);
  for (int Round = 0; Round < Rounds; ++Round) {
    std::size_t Number = 1 + Dice.below(4);
    auto &On = Fleet[Number];
    // Some requests come twice, on whatever host.
    std::uint64_t Asked =
        Dice.chance(0.2) && Request > 5 ? Request - 5 : ++Request;
    if (!On.IsDead)
      if (auto Id = Fleet.reserve(On, Asked, 1 + Dice.below(60)))
        Open.emplace_back(Number, Id.value());
    if (!Open.empty() && Dice.chance(0.7)) {
      auto [Host, Id] = Open.front();
      Open.erase(Open.begin());
      if (!Fleet[Host].IsDead)
        (void)Fleet.settle(Fleet[Host], Id, Dice.below(70));
    }
    if (Dice.chance(0.02))
      Fleet.topUp(Dice.below(500), Dice.below(20) + 100);
    if (Dice.chance(0.01) && !On.IsDead && Number != 1) {
      On.IsDead = true;
      Fleet.operate(IncarnationEnded{On.Self, EndEvidence::Operator, "test"});
    }
    // An append may take effect twice, or now and once more much later.
    if (!On.Queue.empty() && Dice.chance(0.3))
      Fleet.Log.push_back(On.Queue[Dice.below(On.Queue.size())]);
    if (Fleet.Log.size() > 10 && Dice.chance(0.2))
      Fleet.Log.push_back(Fleet.Log[Dice.below(Fleet.Log.size())]);
    if (Dice.chance(0.5))
      Fleet.round();
    else
      Fleet.Now += std::chrono::milliseconds(50);
  }
  Fleet.rounds(20);
  return Fleet;
}

} // namespace

TEST_CASE("the invariant holds at every offset under all faults together") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    LedgerFleet Fleet = runUnderFaults(Seed, 400);
    auto View = Fleet.view();
    CHECK(Fleet.IsSound);
    CHECK(View.Settled > 0);
    CHECK(View.Settled <= View.ToppedUp);
    for (auto &Host : Fleet.Hosts)
      CHECK(Host->Fold.counters().Overdraws == 0);
  }
}

TEST_CASE("each request is billed once at most under all faults together") {
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

TEST_CASE("a snapshot taken at any offset gives the same end") {
  LedgerFleet Fleet = runUnderFaults(3, 150);
  auto FoldOn = [&](BudgetFold &Fold, std::size_t From) {
    for (std::size_t At = From; At < Fleet.Log.size(); ++At)
      Fold.apply(Fleet.Log[At], {Offset{At}, 0});
  };
  BudgetFold Whole(3);
  FoldOn(Whole, 0);
  BudgetFold Front(3);
  for (std::size_t At = 0; At < Fleet.Log.size(); ++At) {
    Front.apply(Fleet.Log[At], {Offset{At}, 0});
    BudgetFold Restored(3);
    REQUIRE(Restored.restore(Front.snapshot()));
    CHECK(Restored.digest() == Front.digest());
    CHECK(Restored.readFrom() == Offset{At});
    // The reader repeats the offset that the snapshot ends in.
    FoldOn(Restored, At);
    CHECK(Restored.digest() == Whole.digest());
  }
}

TEST_CASE("a damaged snapshot is a typed error and changes nothing") {
  LedgerFleet Fleet = runUnderFaults(4, 100);
  BudgetFold &Fold = Fleet[1].Fold;
  std::string Whole = Fold.snapshot();
  std::uint64_t Before = Fold.digest();
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    CHECK(Fold.restore(Whole.substr(0, Length)).error() ==
          LedgerError::Malformed);
  CHECK(Fold.digest() == Before);
  Random Dice(9);
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Damaged = Whole;
    Damaged[Dice.below(Damaged.size())] = static_cast<char>(Dice.next());
    BudgetFold Victim(3);
    (void)Victim.restore(Damaged);
  }
}

TEST_CASE("a damaged body is a typed error") {
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

TEST_CASE("a settlement older than the memory bills nothing") {
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
    // A copy is never billed, neither while remembered nor after.
    auto Copy = Apply(Bill);
    bool IsRefused =
        Copy == LedgerOutcome::AlreadyBilled || Copy == LedgerOutcome::Late;
    CHECK(IsRefused);
    CHECK((Epoch > 3 || Copy == LedgerOutcome::AlreadyBilled));
  }
  CHECK(Fold.rememberedCount() == 0);
  CHECK(Fold.view(TestTeam).value().Settled == 10);
}

TEST_CASE("a long request is billed although the memory moved on") {
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

TEST_CASE("a settlement that was late comes again with a fresh epoch") {
  SlicePolicy Policy = LedgerFleet::smallPolicy();
  Policy.EpochInterval = std::chrono::seconds(1);
  LedgerFleet Fleet(2, Policy);
  Fleet.topUp(10'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  CHECK(Fleet.settle(Fleet[1], Id.value(), 70));
  // The record stays in the host's queue while the stream moves on.
  auto Held = std::move(Fleet[1].Queue);
  Fleet[1].Queue.clear();
  Fleet.rounds(150);
  CHECK(Fleet.view().Settled == 0);
  Fleet[1].Queue = std::move(Held);
  Fleet.rounds(5);
  CHECK(Fleet.view().Settled == 70);
  CHECK(Fleet[1].Holder.counters().Disputed == 0);
}

TEST_CASE("a holder whose fold jumped by a snapshot agrees with it again") {
  LedgerFleet Fleet(3);
  Fleet.topUp(100'000);
  auto Open = Fleet.reserveSoon(Fleet[1], 1, 100);
  auto Billed = Fleet.reserveSoon(Fleet[1], 2, 100);
  REQUIRE(Open);
  REQUIRE(Billed);
  CHECK(Fleet.settle(Fleet[1], Billed.value(), 40));
  Fleet.land(Fleet[1]);
  REQUIRE(Fleet.reserveSoon(Fleet[2], 3, 100));
  // Host 1 reads none of this, but a snapshot of host 2.
  Fleet.read(Fleet[2]);
  REQUIRE(Fleet[1].Fold.restore(Fleet[2].Fold.snapshot()));
  Fleet[1].Read = Fleet[2].Read;
  Fleet[1].Holder.onRestored(Fleet.Now);
  Fleet.rounds(5);
  auto Local = Fleet[1].Holder.slice(TestTeam);
  auto InFold = Fleet[1].Fold.slice(TestTeam, Fleet[1].Self);
  REQUIRE(InFold);
  CHECK(Local.Reserved == 100);
  CHECK(Local.Settling == 0);
  CHECK(Local.Available + Local.Reserved == InFold.value().Outstanding);
  CHECK_FALSE(Fleet[1].Holder.isFenced());
}
