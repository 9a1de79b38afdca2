/// \file
/// bench routing-slopes: the time of a decision and the memory of the tables
/// against the number of targets, and the length from which moving a cache
/// takes less time than computing it anew.

#include "Experiment.h"

#include "LibBase/Random.h"
#include "LibRouting/KvMove.h"
#include "LibRouting/TargetChooser.h"

namespace bergamothook {

namespace {

const ModelId Model = idOfName<ModelId>("m");
constexpr std::uint64_t Models = 35;
constexpr std::size_t IndexCapacity = 65536;
constexpr std::size_t PromptBlocks = 12;
constexpr int Decisions = 20000;

std::vector<PrefixHash> drawBlocks(Random &Draws) {
  std::vector<PrefixHash> Blocks(PromptBlocks);
  for (PrefixHash &Block : Blocks)
    Block = Draws.next();
  return Blocks;
}

/// Fills a table, and an index that holds \p Prompts prompts.
void fill(TargetTable &Table, PrefixIndex &Prefixes,
          std::vector<std::vector<PrefixHash>> &Prompts, std::size_t Targets,
          Random &Draws, TimePoint Now) {
  for (std::size_t I = 0; I < Targets; ++I) {
    TargetInfo Info;
    Info.Id = TargetId{I + 1};
    Info.Domain = FailureDomainId{I % 7};
    Info.Models = {Model, ModelId{I % Models}};
    Table.upsert(Info, Now);
    LoadReport Report;
    Report.TakenAt = Now;
    Report.Running = static_cast<std::uint32_t>(Draws.below(16));
    Report.WaitingPrefillTokens = Draws.below(4000);
    Table.report(Info.Id, Report);
  }
  for (auto &Blocks : Prompts) {
    Blocks = drawBlocks(Draws);
    for (int Copy = 0; Copy < 3; ++Copy)
      Prefixes.addExpected(
          static_cast<TargetTable::Slot>(Draws.below(Table.size())), Blocks);
  }
}

void measureDecisions(std::size_t Targets, std::uint64_t Seed,
                      const RowSink &Sink) {
  Random Draws(Seed);
  TimePoint Now{std::chrono::hours(1)};
  TargetTable Table({});
  PrefixIndex Prefixes(IndexCapacity);
  OutlierDetector Outliers({});
  std::vector<std::vector<PrefixHash>> Prompts(2000);
  fill(Table, Prefixes, Prompts, Targets, Draws, Now);
  TargetChooser Chooser(Table, Prefixes, Outliers, {}, Seed);
  RequestFeatures Request;
  Request.Model = Model;
  Request.PromptTokens = PromptBlocks * PrefixBlockTokens;
  Request.ExpectedTokens = 100;
  TimePoint Begin = readMonotonicClock();
  for (int I = 0; I < Decisions; ++I) {
    Request.Prefix = Prompts[static_cast<std::size_t>(I) % Prompts.size()];
    auto Made = Chooser.choose(Request, Now);
    if (!Made)
      return;
    Table.dispatched(Made.value().Target, Made.value().PrefillTokens, Now);
    Table.finished(Made.value().Target, Made.value().PrefillTokens, false, Now);
  }
  std::chrono::duration<double, std::micro> Taken =
      readMonotonicClock() - Begin;
  std::string Size = std::to_string(Targets) + " targets ";
  Sink({"routing-slopes", "design", Size + "decision",
        Taken.count() / Decisions, "us", Seed});
  Sink({"routing-slopes", "design", Size + "table",
        static_cast<double>(Table.bytes()) / static_cast<double>(Targets),
        "bytes/target", Seed});
  Sink({"routing-slopes", "design", Size + "index",
        static_cast<double>(Prefixes.bytes()) / IndexCapacity, "bytes/prefix",
        Seed});
}

void runSlopes(const ExperimentOptions &Options, const RowSink &Sink) {
  for (std::size_t Targets : {500, 1000, 2000, 4000, 5500, 8000})
    measureDecisions(Targets, Options.Seed, Sink);
  for (double Rate : {2000.0, 8000.0, 20000.0}) {
    std::uint32_t Tokens = kvMoveThreshold(Rate, KvMoveSettings());
    if (Tokens == NeverMoves)
      continue;
    Sink({"routing-slopes", "design",
          "move a cache at " + std::to_string(static_cast<int>(Rate)) +
              " tokens/s from",
          static_cast<double>(Tokens), "tokens", Options.Seed});
  }
}

const ExperimentRegistration Registration{
    "routing-slopes", "time and memory of a choice against the fleet's size",
    runSlopes};

} // namespace

} // namespace bergamothook
