/// \file
/// The result of choosing a target, with the data behind the decision.

#ifndef BERGAMOTHOOK_LIBROUTING_CHOICE_H
#define BERGAMOTHOOK_LIBROUTING_CHOICE_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <vector>

namespace bergamothook {

/// A target that was scored. The times are estimates.
struct Candidate {
  TargetId Target;
  /// The wait before prefill starts.
  Duration Queue{};
  /// The prefill time of the part of the prompt that the target has not cached.
  Duration Prefill{};
  /// The time to generate the answer, given the target's other work.
  Duration Decode{};
  /// The weighted sum that candidates are compared by; lower is better.
  Duration Score{};
  /// The number of prompt tokens that the target is believed to have cached.
  std::uint32_t CoveredTokens = 0;
  bool IsEjected = false;
};

enum class ChoiceReason : std::uint8_t {
  /// The best score, without a cached prefix.
  LeastLoad,
  /// The best score, with a part of the prompt cached.
  PrefixHeld,
  /// Only one target was available.
  OnlyOne,
  /// All targets are suspect or ejected; one of them was chosen anyway.
  LastResort,
};

const char *nameOf(ChoiceReason Reason);

struct Choice {
  TargetId Target;
  ChoiceReason Reason = ChoiceReason::LeastLoad;
  /// The estimated time to the first token.
  Duration FirstToken{};
  /// The estimated wait before prefill starts.
  Duration Queue{};
  /// The prompt tokens left to compute, for TargetTable::dispatched().
  std::uint32_t PrefillTokens = 0;
  /// All scored candidates, including the chosen one.
  std::vector<Candidate> Candidates;
};

} // namespace bergamothook

#endif
