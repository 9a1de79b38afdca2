/// \file
/// The known ways to choose a target that the design is measured against.

#ifndef BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGBASELINES_H
#define BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGBASELINES_H

#include "LibBase/Random.h"
#include "LibRouting/TargetTable.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bergamothook {

enum class Baseline {
  Random,
  RoundRobin,
  LeastReported,
  TwoChoices,
  /// The score function of equation 5 of "Using Content-Addressable Networks
  /// for Load Balancing in Desktop Grids": queue length over speed.
  QueueOverSpeed,
  /// The aggregated load of equations 1 to 4 of the same paper: a request is
  /// pushed along targets ordered by speed, in one column for each failure
  /// domain, and equation 5 picks among those passed.
  LoadPush,
};

/// Chooses by one baseline. It knows the reports only, as they came.
class BaselineChooser {
public:
  BaselineChooser(Baseline Kind, std::uint64_t Seed);

  /// Gives a slot of \p Places that is not among \p Excluded, or nothing.
  std::optional<TargetTable::Slot>
  choose(const TargetTable &Table, const std::vector<TargetTable::Slot> &Places,
         std::span<const TargetId> Excluded);

private:
  using Slot = TargetTable::Slot;

  Slot leastReported(const TargetTable &Table);
  Slot twoChoices(const TargetTable &Table);
  Slot queueOverSpeed(const TargetTable &Table);
  Slot loadPush(const TargetTable &Table);

  Baseline Kind;
  Random Draws;
  std::uint64_t Turn;
  std::vector<Slot> Usable;
};

} // namespace bergamothook

#endif
