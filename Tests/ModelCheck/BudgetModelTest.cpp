#include "BudgetModel.h"

#include <deque>
#include <doctest/doctest.h>
#include <unordered_set>

using namespace bergamothook;

namespace {

struct Exploration {
  std::size_t States = 0;
  std::size_t Depth = 0;
  std::string Broken;
};

/// Explores every order of steps breadth first, up to \p MostSteps steps and
/// \p MostStates states, or to the first broken property.
Exploration explore(const SeededMistake &Mistake, std::size_t MostSteps,
                    std::size_t MostStates) {
  Exploration Done;
  std::unordered_set<std::uint64_t> Seen;
  std::deque<std::vector<int>> Paths{{}};
  while (!Paths.empty() && Done.States < MostStates) {
    std::vector<int> Path = std::move(Paths.front());
    Paths.pop_front();
    for (int Step = 0; Step < BudgetModel::StepCount; ++Step) {
      BudgetModel Model(Mistake);
      for (int Before : Path)
        Model.step(Before);
      if (!Model.step(Step) || !Seen.insert(Model.digest()).second)
        continue;
      ++Done.States;
      Done.Depth = Path.size() + 1;
      Done.Broken = Model.broken();
      if (!Done.Broken.empty())
        return Done;
      if (Path.size() + 1 < MostSteps) {
        Paths.push_back(Path);
        Paths.back().push_back(Step);
      }
    }
  }
  return Done;
}

/// Rewrites the body of \p Record if it is a \p Body.
template <typename Body, typename Change>
void rewrite(StreamRecord &Record, Change Apply) {
  auto Decoded = decodeLedgerBody(Record);
  if (!std::holds_alternative<Body>(Decoded.value()))
    return;
  Body Present = std::get<Body>(Decoded.value());
  Apply(Present);
  Record = makeLedgerRecord(Record.Id, Record.Writer, Present);
}

std::vector<SeededMistake> mistakes() {
  std::vector<SeededMistake> All(6);
  All[0].Name = "the slice of an ended holder returns at once";
  All[0].OnEnd = [](LedgerFleet &Fleet, LedgerHost &Dead) {
    Fleet.appendAsOperator(WriteBack{TestTeam, Dead.Self, 0, "mistake"}, 6);
  };
  All[1].Name = "a witness forgets what it acknowledged";
  All[1].ForgetsNotes = true;
  All[2].Name = "settlements are keyed by attempt";
  All[2].OnAppend = [](StreamRecord &Record, bool) {
    rewrite<Settle>(Record, [&](Settle &Bill) {
      Bill.Request.High += Record.Writer.Host.Value;
    });
  };
  All[3].Name = "a record counts twice for its holder";
  All[3].AppliesTwice = true;
  All[4].Name = "a snapshot is taken for newer than it is";
  All[4].SkipsAfterRestore = true;
  All[5].Name = "a witness reports less than it holds";
  All[5].OnAppend = [](StreamRecord &Record, bool) {
    rewrite<WitnessReport>(Record,
                           [](WitnessReport &Report) { Report.Open = 0; });
  };
  return All;
}

} // namespace

TEST_CASE("no order of few steps breaks a property of budgets") {
  Exploration Done = explore({}, 7, 30'000);
  MESSAGE("states explored: " << Done.States << ", depth " << Done.Depth);
  CHECK(Done.Broken == "");
}

TEST_CASE("the exploration finds each seeded mistake") {
  for (const auto &Mistake : mistakes()) {
    CAPTURE(Mistake.Name);
    Exploration Done = explore(Mistake, 9, 60'000);
    MESSAGE(Mistake.Name << ": " << Done.Broken << " after " << Done.States
                         << " states, depth " << Done.Depth);
    CHECK(Done.Broken != "");
  }
}
