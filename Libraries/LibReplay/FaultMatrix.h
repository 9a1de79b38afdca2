/// \file
/// The table of every fault at every step, and the pairs of them.

#ifndef BERGAMOTHOOK_LIBREPLAY_FAULTMATRIX_H
#define BERGAMOTHOOK_LIBREPLAY_FAULTMATRIX_H

#include "LibReplay/Scenario.h"

#include <functional>

namespace bergamothook {

/// One fault at one step of one kind of request.
struct FaultCell {
  RequestKind Kind = RequestKind::Order;
  FaultKind Fault = FaultKind::TargetCrash;
  Step At = Step::Admit;
};

/// Says why \p Cell can't occur, or null where it can.
const char *whyImpossible(const FaultCell &Cell);

/// The last answers that a patient caller may get in \p Cell. Empty where the
/// caller hung up and gets none.
std::vector<Outcome> allowedOutcomes(const FaultCell &Cell);

/// All cells, the impossible ones too.
std::vector<FaultCell> allFaultCells();

/// What became of one cell or of a pair of cells.
struct MatrixRow {
  std::vector<FaultCell> Cells;
  ScenarioReport Report;
  /// Set when no invariant broke and the outcome is an allowed one.
  bool HasHeld = false;
  /// Set when each fault struck; a first fault may keep the request from the
  /// step of the second.
  bool HasStruck = false;
};

/// Runs a single cell, or with two cells the pair.
MatrixRow runMatrixRow(const std::vector<FaultCell> &Cells, std::uint64_t Seed);

/// Writes the faults of a row for people to read.
std::string describe(const std::vector<FaultCell> &Cells);

} // namespace bergamothook

#endif
