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

/// Counts rows, and names those that broke.
struct Tally {
  void add(const MatrixRow &Row) {
    ++this->Rows;
    this->Held += Row.HasHeld ? 1 : 0;
    this->Unreached += Row.HasStruck ? 0 : 1;
    if (Row.HasHeld)
      return;
    std::string Seen = describe(Row.Cells) + ": ";
    const RequestReport &Known = Row.Report.Requests.front();
    for (Outcome Given : Known.Outcomes)
      Seen += std::string(nameOf(Given)) + " ";
    Seen += Known.LastReason;
    for (const auto &Broken : Row.Report.Violations)
      Seen += "; " + Broken;
    MESSAGE(Seen);
  }

  int Rows = 0;
  int Held = 0;
  int Unreached = 0;
};

} // namespace

TEST_CASE("every fault at every step ends in an allowed outcome") {
  Tally Singles;
  for (const auto &Cell : possibleCells()) {
    MatrixRow Row = runMatrixRow({Cell}, Seed);
    Singles.add(Row);
    if (!Row.HasStruck)
      MESSAGE("not reached: " << describe({Cell}));
  }
  std::map<std::string, int> Reasons;
  for (const auto &Cell : allFaultCells())
    if (const char *Reason = whyImpossible(Cell))
      ++Reasons[std::string(nameOf(Cell.Kind)) + ": " + Reason];
  MESSAGE("cells " << Singles.Rows << ", held " << Singles.Held
                   << ", not reached " << Singles.Unreached);
  for (const auto &[Reason, Count] : Reasons)
    MESSAGE("impossible " << Count << " cells, " << Reason);
  CHECK(Singles.Held == Singles.Rows);
  CHECK(Singles.Unreached == 0);
}

TEST_CASE("every pair of faults keeps the invariants") {
  std::vector<FaultCell> Cells = possibleCells();
  Tally Pairs;
  for (std::size_t First = 0; First < Cells.size(); ++First)
    for (std::size_t Second = First + 1; Second < Cells.size(); ++Second)
      if (Cells[First].Kind == Cells[Second].Kind)
        Pairs.add(runMatrixRow({Cells[First], Cells[Second]}, Seed));
  MESSAGE("pairs " << Pairs.Rows << ", held " << Pairs.Held
                   << ", second fault not reached " << Pairs.Unreached);
  CHECK(Pairs.Held == Pairs.Rows);
}
