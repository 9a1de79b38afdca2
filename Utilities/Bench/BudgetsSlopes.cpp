#include "Experiment.h"

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibLedger/BudgetFold.h"

#include <string>

namespace bergamothook {

namespace {

constexpr std::uint64_t HomesPerSevenBudgets = 3;
constexpr std::uint64_t HolderCount = 64;
constexpr TokenCount Granted = 1'000'000'000;
constexpr std::uint64_t RecordCount = 1'000'000;
const std::vector<std::uint64_t> Sizes{20'000, 40'000, 80'000, 160'000};

/// Fills a fold with budgets, and three slices to each seven of them, which is
/// a home in each of 7 failure domains for 9,600 of 160,000.
struct FilledFold {
  explicit FilledFold(std::uint64_t Budgets) : Budgets(Budgets) {
    for (std::uint64_t Team = 1; Team <= Budgets; ++Team)
      this->apply(TopUp{TeamId{Team}, 2 * Granted, 0, {}}, {});
    std::uint64_t Slices = Budgets * HomesPerSevenBudgets / 7;
    for (std::uint64_t Slice = 0; Slice < Slices; ++Slice) {
      Incarnation Holder = holderOf(Slice);
      this->apply(
          GrantRequest{TeamId{Slice + 1}, 1, Granted, 0, {Holder, Holder}, 0},
          Holder);
    }
  }

  static Incarnation holderOf(std::uint64_t Slice) {
    return {HostId{Slice % HolderCount + 1}, 1};
  }

  void apply(const LedgerBody &Body, Incarnation Writer) {
    ++this->Next;
    this->Fold.apply(Body, RecordId{1, this->Next}, Writer,
                     {Offset{this->Next}, 0});
  }

  std::uint64_t Budgets;
  std::uint64_t Next = 0;
  BudgetFold Fold;
};

double secondsSince(TimePoint Begin) {
  std::chrono::duration<double> Passed = readMonotonicClock() - Begin;
  return Passed.count();
}

std::vector<StreamRecord> settlements(std::uint64_t Slices, Random &Dice) {
  std::vector<StreamRecord> Made;
  Made.reserve(RecordCount);
  for (std::uint64_t Number = 0; Number < RecordCount; ++Number) {
    std::uint64_t Slice = Dice.below(Slices);
    Incarnation Holder = FilledFold::holderOf(Slice);
    Settle Body{
        Dice.next128(), TeamId{Slice + 1}, Holder, 100, AttemptNumber{1}, 0};
    Made.push_back(makeLedgerRecord(Dice.next128(), Holder, Body));
  }
  return Made;
}

void runSize(std::uint64_t Budgets, std::uint64_t Seed, const RowSink &Sink) {
  std::string Design = std::to_string(Budgets) + " budgets";
  auto Print = [&](const std::string &Metric, double Value,
                   const std::string &Unit) {
    Sink({"budgets-slopes", Design, Metric, Value, Unit, Seed});
  };
  FilledFold Filled(Budgets);
  BudgetFold &Fold = Filled.Fold;
  auto Slices = static_cast<double>(Fold.sliceCount());
  Print("bytes per budget",
        static_cast<double>(Fold.budgetBytes()) / static_cast<double>(Budgets),
        "B");
  Print("bytes per slice", static_cast<double>(Fold.sliceBytes()) / Slices,
        "B");
  std::string Empty = Fold.snapshot();
  TimePoint Begin = readMonotonicClock();
  BudgetFold Restored;
  bool IsRestored = Restored.restore(Empty).has_value();
  Print("snapshot load", secondsSince(Begin), "s");
  Print("snapshot loads", IsRestored ? 1 : 0, "");
  Print("snapshot size without requests", static_cast<double>(Empty.size()),
        "B");
  Random Dice(Seed);
  auto Records = settlements(Fold.sliceCount(), Dice);
  Begin = readMonotonicClock();
  std::uint64_t At = Filled.Next;
  for (const auto &Record : Records)
    Fold.apply(Record, {Offset{++At}, 0});
  Print("fold with decoding", RecordCount / secondsSince(Begin), "1/s");
  Print("bytes per remembered request",
        static_cast<double>(Fold.memoryBytes()) /
            static_cast<double>(Fold.rememberedCount()),
        "B");
  Print("violations", static_cast<double>(Fold.counters().Violations), "");
  std::vector<LedgerBody> Bodies;
  Bodies.reserve(RecordCount);
  for (const auto &Record : settlements(Fold.sliceCount(), Dice))
    Bodies.push_back(decodeLedgerBody(Record).value());
  Begin = readMonotonicClock();
  for (std::size_t Number = 0; Number < Bodies.size(); ++Number)
    Fold.apply(Bodies[Number], {}, {}, {Offset{++At}, 0});
  Print("fold without decoding", RecordCount / secondsSince(Begin), "1/s");
}

const ExperimentRegistration Registered{
    "budgets-slopes", "cost of the fold of budgets by their number",
    [](const ExperimentOptions &Options, const RowSink &Sink) {
      for (std::uint64_t Budgets : Sizes)
        runSize(Budgets, Options.Seed, Sink);
    }};

} // namespace

} // namespace bergamothook
