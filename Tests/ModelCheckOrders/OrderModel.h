/// \file
/// All schedules of two or three processes that claim one order on the log.

#ifndef BERGAMOTHOOK_TESTS_MODELCHECKORDERS_ORDERMODEL_H
#define BERGAMOTHOOK_TESTS_MODELCHECKORDERS_ORDERMODEL_H

#include "LibOutcome/OrderFold.h"

#include <set>
#include <string>
#include <vector>

namespace bergamothook {

/// A mistake put into the process on purpose; the check must find each.
enum class SeededMistake {
  None,
  /// Dispatches on the append's answer, without reading the claim back.
  DispatchUnread,
  /// Dispatches whatever claim won.
  IgnoreWinner,
  /// Releases a claim that was dispatched already.
  ReleaseAfterDispatch,
  /// Claims anew what an ended process left open, under its own name.
  TakeOverEnded,
};

struct ModelBounds {
  std::size_t Processes = 2;
  /// How often the processes may claim and give up, all together.
  std::size_t Claims = 3;
  std::size_t Releases = 2;
  /// How many ends of processes others may declare, rightly or not.
  std::size_t EndsDeclared = 1;
  /// How many appends may land twice.
  std::size_t Copies = 1;
};

struct ModelResult {
  std::size_t States = 0;
  /// The steps to the first state where the order ran twice; empty if none.
  std::vector<std::string> Counterexample;
};

/// Visits every reachable state within \p Bounds.
ModelResult exploreOrders(const ModelBounds &Bounds, SeededMistake Mistake);

} // namespace bergamothook

#endif
