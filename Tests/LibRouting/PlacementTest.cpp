#include "LibRouting/KvMove.h"
#include "LibRouting/PlacementDecider.h"
#include "LibRouting/PlacementFold.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const Incarnation First{HostId{1}, 1};
const Incarnation Second{HostId{2}, 1};
const ModelVariant Model{"m", "", ""};

PlacementRecord claim(std::uint64_t Id, const Incarnation &Writer) {
  PlacementRecord Record;
  Record.Id = {1, Id};
  Record.Writer = Writer;
  return Record;
}

PlacementRecord step(std::uint64_t Id, const Incarnation &Writer,
                     std::uint64_t Claim, EngineCommandKind Kind,
                     std::uint64_t Target) {
  PlacementRecord Record = claim(Id, Writer);
  Record.Kind = PlacementRecordKind::Order;
  Record.Claim = Offset{Claim};
  Record.Order = {2, Id};
  Record.Step = Kind;
  Record.Target = TargetId{Target};
  Record.Model = Model.Model;
  return Record;
}

PlacementRecord end(std::uint64_t Id, PlacementRecordKind Kind,
                    const PlacementRecord &Order) {
  PlacementRecord Record = claim(Id, Order.Writer);
  Record.Kind = Kind;
  Record.Claim = Order.Claim;
  Record.Order = Order.Order;
  return Record;
}

TargetTable fleet(std::uint64_t Holders, std::uint64_t Others) {
  TargetTable Table(TargetTableSettings{});
  for (std::uint64_t I = 1; I <= Holders + Others; ++I) {
    TargetInfo Info;
    Info.Id = TargetId{I};
    if (I <= Holders)
      Info.Models = {Model.id()};
    Table.upsert(Info, Start);
  }
  return Table;
}

} // namespace

TEST_CASE("a step is valid only under the latest claim before it") {
  PlacementFold Fold;
  Fold.apply(Offset{5}, claim(1, First));
  auto Early = step(2, First, 5, EngineCommandKind::Load, 1);
  Fold.apply(Offset{6}, Early);
  CHECK(Fold.maySend(Early.Order, First));
  Fold.apply(Offset{7}, claim(3, Second));
  CHECK_FALSE(Fold.isDecider(First));
  CHECK_FALSE(Fold.maySend(Early.Order, First));
  auto Late = step(4, First, 5, EngineCommandKind::Unload, 2);
  Fold.apply(Offset{8}, Late);
  CHECK_FALSE(Fold.hasPendingStep(TargetId{2}));
  CHECK(Fold.claim() == Offset{7});
}

TEST_CASE("a duplicate claim has no effect") {
  PlacementFold Fold;
  Fold.apply(Offset{5}, claim(1, First));
  Fold.apply(Offset{6}, claim(2, Second));
  Fold.apply(Offset{7}, claim(1, First));
  CHECK(Fold.isDecider(Second));
}

TEST_CASE("a pending unload removes capacity until it is confirmed") {
  PlacementFold Fold;
  Fold.apply(Offset{5}, claim(1, First));
  auto Unload = step(2, First, 5, EngineCommandKind::Unload, 1);
  Fold.apply(Offset{6}, Unload);
  // Another host takes over. The step ordered by the first host may still reach
  // a target that does not check fencing numbers.
  Fold.apply(Offset{7}, claim(3, Second));
  CHECK(Fold.mayUnload(TargetId{1}, Model.id()));
  PlacementRecord Abandoned = end(4, PlacementRecordKind::Abandoned, Unload);
  Abandoned.Writer = Second;
  Abandoned.Claim = Offset{7};
  Fold.apply(Offset{8}, Abandoned);
  CHECK(Fold.mayUnload(TargetId{1}, Model.id()));
  PlacementRecord Done = end(5, PlacementRecordKind::Done, Unload);
  Done.Writer = Second;
  Done.Claim = Offset{7};
  Fold.apply(Offset{9}, Done);
  CHECK_FALSE(Fold.mayUnload(TargetId{1}, Model.id()));

  PlacementSettings Settings;
  Settings.ScaleDownDelay = 0s;
  PlacementDecider Decider(Settings);
  Decider.demand(Model, 20, Start);
  TargetTable Table = fleet(2, 0);
  auto Another = step(6, Second, 7, EngineCommandKind::Unload, 1);
  Fold.apply(Offset{10}, Another);
  CHECK_MESSAGE(Decider.decide(Table, Fold, Start).empty(),
                "the last reliable capacity is not unloaded");
}

TEST_CASE("an unloaded model is loaded once on its first demand") {
  PlacementDecider Decider({});
  PlacementFold Fold;
  TargetTable Table = fleet(0, 3);
  CHECK(Decider.decide(Table, Fold, Start).empty());
  Decider.demand(Model, 1, Start);
  auto Steps = Decider.decide(Table, Fold, Start);
  REQUIRE(Steps.size() == 1);
  CHECK(Steps[0].Kind == EngineCommandKind::Load);
  Fold.apply(Offset{1}, claim(1, First));
  Fold.apply(Offset{2},
             step(2, First, 1, EngineCommandKind::Load, Steps[0].Target.Value));
  CHECK(Decider.decide(Table, Fold, Start + 1s).empty());
}

TEST_CASE("loads stay within the limits of the weight store") {
  PlacementSettings Settings;
  Settings.MaxConcurrentLoads = 2;
  PlacementDecider Decider(Settings);
  PlacementFold Fold;
  TargetTable Table = fleet(0, 20);
  for (int I = 0; I < 10; ++I)
    Decider.demand({"m" + std::to_string(I), "", ""}, 1, Start);
  CHECK(Decider.decide(Table, Fold, Start).size() == 2);
  CHECK(Decider.decide(Table, Fold, Start + 1s).empty());
  CHECK(Decider.decide(Table, Fold, Start + 11s).size() == 1);
}

TEST_CASE("only capacity that stayed unused for the delay is unloaded") {
  PlacementDecider Decider({});
  PlacementFold Fold;
  TargetTable Table = fleet(4, 0);
  // The demand is 20 of 64 sequences, which is above the lower threshold of the
  // 48 that would remain.
  Decider.demand(Model, 20, Start);
  CHECK(Decider.decide(Table, Fold, Start).empty());
  for (int Minute = 1; Minute <= 30; ++Minute) {
    Decider.demand(Model, 20, Start + Minute * 1min);
    CHECK(Decider.decide(Table, Fold, Start + Minute * 1min).empty());
  }
  TimePoint Now = Start + 30min;
  std::size_t Unloads = 0;
  for (int Minute = 1; Minute <= 30; ++Minute) {
    Decider.demand(Model, 15, Now + Minute * 1min);
    auto Steps = Decider.decide(Table, Fold, Now + Minute * 1min);
    Unloads += Steps.size();
    if (Steps.empty())
      continue;
    CHECK(Minute > 5);
    CHECK(Steps[0].Kind == EngineCommandKind::Unload);
    Fold.apply(Offset{1}, claim(1, First));
    Fold.apply(Offset{2}, step(2, First, 1, EngineCommandKind::Unload,
                               Steps[0].Target.Value));
  }
  // The demand of 15 is above the lower threshold of the 32 sequences that
  // would remain.
  CHECK(Unloads == 1);
}

TEST_CASE("a long cache is moved and a short one is recomputed") {
  KvMoveSettings Settings;
  std::uint32_t Threshold = kvMoveThreshold(8000, Settings);
  KvMoveInput Input;
  Input.MustLeave = true;
  Input.ComputedTokens = Threshold * 2;
  CHECK(decideKvMove(Input, Settings) == KvMoveDecision::MoveCache);
  Input.ComputedTokens = Threshold / 2;
  CHECK(decideKvMove(Input, Settings) == KvMoveDecision::Recompute);
  Input.ComputedTokens = Threshold * 2;
  Input.DestinationCoveredTokens = Threshold * 2;
  CHECK(decideKvMove(Input, Settings) == KvMoveDecision::Recompute);
}

TEST_CASE("a stream moves only if that saves the minimum gain") {
  KvMoveSettings Settings;
  KvMoveInput Input;
  Input.ComputedTokens = 8000;
  Input.SourceWait = 1s;
  CHECK(decideKvMove(Input, Settings) == KvMoveDecision::Stay);
  Input.SourceWait = 5s;
  CHECK(decideKvMove(Input, Settings) == KvMoveDecision::MoveCache);
  Settings.BytesPerSecond = 1e8;
  CHECK(decideKvMove(Input, Settings) == KvMoveDecision::Recompute);
}
