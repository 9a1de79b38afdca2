/// \file
/// A ring buffer of recent choices with the data behind them, for operators who
/// ask why a request was sent to a target. The memory is bounded by the number
/// of choices.

#ifndef BERGAMOTHOOK_LIBROUTING_EXPLANATIONRING_H
#define BERGAMOTHOOK_LIBROUTING_EXPLANATIONRING_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibRouting/Choice.h"

#include <cstddef>
#include <vector>

namespace bergamothook {

/// A recorded choice.
struct Explanation {
  RequestId Request;
  AttemptNumber Attempt;
  TimePoint At;
  Choice Decision;
};

/// Keeps the latest explanations and the best candidates of each. Not
/// thread-safe.
class ExplanationRing {
public:
  ExplanationRing(std::size_t Capacity, std::size_t MaxCandidates);

  /// Records a choice, replacing the oldest one when the ring is full.
  void add(Explanation Item);

  /// Returns the recorded choices of a request, oldest first.
  std::vector<Explanation> find(RequestId Request) const;

  std::size_t size() const { return this->Ring.size(); }

private:
  std::size_t Capacity;
  std::size_t MaxCandidates;
  std::size_t Next = 0;
  std::vector<Explanation> Ring;
};

} // namespace bergamothook

#endif
