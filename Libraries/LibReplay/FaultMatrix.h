/// \file
/// Runs every fault at every step, and every pair of them.

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

/// \returns why \p Cell can't occur, or null if it can.
const char *whyImpossible(const FaultCell &Cell);

/// The outcomes allowed in the last response to a caller that retries in \p
/// Cell. Empty if the caller hangs up and gets no response.
std::vector<Outcome> allowedOutcomes(const FaultCell &Cell);

/// All cells, including the impossible ones.
std::vector<FaultCell> allFaultCells();

/// The result of one cell or a pair of cells.
struct MatrixRow {
  std::vector<FaultCell> Cells;
  ScenarioReport Report;
  /// Whether no invariant was violated and, for a single cell, the outcome is
  /// allowed.
  bool HasPassed = false;
  /// Whether every fault was injected. The first fault of a pair may prevent
  /// the request from reaching the step of the second.
  bool AllFaultsInjected = false;
};

/// Runs one cell or a pair of cells.
MatrixRow runMatrixRow(const std::vector<FaultCell> &Cells, std::uint64_t Seed);

/// \returns a readable description of the faults of a row.
std::string describe(const std::vector<FaultCell> &Cells);

} // namespace bergamothook

#endif
