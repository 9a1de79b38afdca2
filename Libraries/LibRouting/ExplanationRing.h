/// \file
/// The latest choices with what they rest on, for operators who ask why a
/// request went where it went. The memory is bounded by a number of choices.

#ifndef BERGAMOTHOOK_LIBROUTING_EXPLANATIONRING_H
#define BERGAMOTHOOK_LIBROUTING_EXPLANATIONRING_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibRouting/Choice.h"

#include <cstddef>
#include <vector>

namespace bergamothook {

/// One choice that was made.
struct Explanation {
  RequestId Request;
  AttemptNumber Attempt;
  TimePoint At;
  Choice Made;
};

/// Keeps the latest explanations and the best candidates of each. Not
/// thread-safe.
class ExplanationRing {
public:
  ExplanationRing(std::size_t Capacity, std::size_t MaxCandidates);

  /// Notes a choice, in place of the oldest one when the ring is full.
  void add(Explanation Item);

  /// Gives the choices of a request that are still held, oldest first.
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
