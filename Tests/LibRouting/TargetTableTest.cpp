#include "LibRouting/TargetTable.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const ModelId Model = idOfName<ModelId>("m");
const TargetId Target{1};

TargetTable makeTable(std::uint32_t Hosts) {
  TargetTableSettings Settings;
  Settings.Hosts = Hosts;
  Settings.PeerShare = 1;
  TargetTable Table(Settings);
  TargetInfo Info;
  Info.Id = Target;
  Info.Models = {Model};
  Table.upsert(Info, Start);
  return Table;
}

LoadReport reportAt(TimePoint TakenAt, std::uint64_t PrefillTokens) {
  LoadReport Report;
  Report.TakenAt = TakenAt;
  Report.WaitingPrefillTokens = PrefillTokens;
  return Report;
}

} // namespace

TEST_CASE("requests sent after a report was taken are added to it") {
  TargetTable Table = makeTable(1);
  auto SlotIndex = Table.slotOf(Target).value();
  Table.dispatched(Target, 100, Start + 1s);
  Table.dispatched(Target, 200, Start + 3s);
  Table.report(Target, reportAt(Start + 2s, 100));
  CHECK(Table.estimate(SlotIndex, Start + 3s).PrefillTokens ==
        doctest::Approx(300).epsilon(0.05));
}

TEST_CASE("a dispatch counts once for each host that sees the same report") {
  TargetTable Table = makeTable(6);
  auto SlotIndex = Table.slotOf(Target).value();
  Table.report(Target, reportAt(Start, 0));
  Table.dispatched(Target, 100, Start + 1ms);
  CHECK(Table.estimate(SlotIndex, Start + 1ms).PrefillTokens ==
        doctest::Approx(600).epsilon(0.01));
}

TEST_CASE("an old report is superseded by the host's own outstanding work") {
  TargetTable Table = makeTable(1);
  auto SlotIndex = Table.slotOf(Target).value();
  Table.report(Target, reportAt(Start, 100000));
  CHECK(Table.estimate(SlotIndex, Start + 10min).PrefillTokens < 1);
}

TEST_CASE("a report older than the current one is ignored") {
  TargetTable Table = makeTable(1);
  auto SlotIndex = Table.slotOf(Target).value();
  Table.report(Target, reportAt(Start + 2s, 10));
  Table.report(Target, reportAt(Start + 1s, 5000));
  CHECK(Table.estimate(SlotIndex, Start + 2s).PrefillTokens == 10);
}

TEST_CASE("finished work leaves no load in the estimate") {
  TargetTable Table = makeTable(3);
  auto SlotIndex = Table.slotOf(Target).value();
  Table.dispatched(Target, 100, Start);
  Table.dispatched(Target, 50, Start);
  Table.firstToken(Target, 100, Start);
  Table.finished(Target, 100, true, Start);
  Table.finished(Target, 50, false, Start);
  LoadEstimate Load = Table.estimate(SlotIndex, Start);
  CHECK(Load.PrefillTokens == 0);
  CHECK(Load.Running == 0);
  CHECK(Load.Waiting == 0);
}

TEST_CASE("the index by model is updated with a target's models") {
  TargetTable Table = makeTable(1);
  ModelId Other = variantIdOf("m", "lora", "2");
  CHECK(Table.serving(Model).size() == 1);
  CHECK(Table.serving(Other).empty());
  TargetInfo Info = Table.find(Target)->Info;
  Info.Models = {Other};
  Table.upsert(Info, Start);
  CHECK(Table.serving(Model).empty());
  CHECK(Table.serving(Other).size() == 1);
  Table.remove(Target);
  CHECK(Table.serving(Other).empty());
  CHECK(Table.size() == 0);
}

TEST_CASE(
    "a variant without adapter and version has the identifier of its model") {
  CHECK(variantIdOf("m", "", "") == Model);
}
