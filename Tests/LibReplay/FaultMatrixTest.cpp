#include "LibReplay/FaultMatrix.h"

#include <doctest/doctest.h>
#include <map>

using namespace bergamothook;

namespace {

constexpr std::uint64_t Seed = 1;

std::vector<FaultCell> possibleCells() {
  std::vector<FaultCell> Possible;
  for (const auto &Cell : allFaultCells())
    if (whyImpossible(Cell) == nullptr)
      Possible.push_back(Cell);
  return Possible;
}

/// Counts rows and prints the failed ones.
struct Tally {
  void add(const MatrixRow &Row) {
    ++this->Rows;
    this->Passed += Row.HasPassed ? 1 : 0;
    this->Unreached += Row.AllFaultsInjected ? 0 : 1;
    if (Row.HasPassed)
      return;
    std::string Summary = describe(Row.Cells) + ": ";
    const RequestReport &Report = Row.Report.Requests.front();
    for (Outcome Value : Report.Outcomes)
      Summary += std::string(nameOf(Value)) + " ";
    Summary += Report.LastReason;
    for (const auto &Violation : Row.Report.Violations)
      Summary += "; " + Violation;
    MESSAGE(Summary);
  }

  int Rows = 0;
  int Passed = 0;
  int Unreached = 0;
};

} // namespace

TEST_CASE("every fault at every step leads to an allowed outcome") {
  Tally Singles;
  for (const auto &Cell : possibleCells()) {
    MatrixRow Row = runMatrixRow({Cell}, Seed);
    Singles.add(Row);
    if (!Row.AllFaultsInjected)
      MESSAGE("not injected: " << describe({Cell}));
  }
  std::map<std::string, int> Reasons;
  for (const auto &Cell : allFaultCells())
    if (const char *Reason = whyImpossible(Cell))
      ++Reasons[std::string(nameOf(Cell.Kind)) + ": " + Reason];
  MESSAGE("cells " << Singles.Rows << ", passed " << Singles.Passed
                   << ", not injected " << Singles.Unreached);
  for (const auto &[Reason, Count] : Reasons)
    MESSAGE("impossible " << Count << " cells, " << Reason);
  CHECK(Singles.Passed == Singles.Rows);
  CHECK(Singles.Unreached == 0);
}

TEST_CASE("every pair of faults keeps the invariants") {
  std::vector<FaultCell> Cells = possibleCells();
  Tally Pairs;
  for (std::size_t First = 0; First < Cells.size(); ++First)
    for (std::size_t Second = First + 1; Second < Cells.size(); ++Second)
      if (Cells[First].Kind == Cells[Second].Kind)
        Pairs.add(runMatrixRow({Cells[First], Cells[Second]}, Seed));
  MESSAGE("pairs " << Pairs.Rows << ", passed " << Pairs.Passed
                   << ", second fault not injected " << Pairs.Unreached);
  CHECK(Pairs.Passed == Pairs.Rows);
}
