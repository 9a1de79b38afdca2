/// \file
/// The result of choosing a target, with what it rests on.

#ifndef BERGAMOTHOOK_LIBROUTING_CHOICE_H
#define BERGAMOTHOOK_LIBROUTING_CHOICE_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <vector>

namespace bergamothook {

/// One target that was scored. The times are estimates.
struct Candidate {
  TargetId Target;
  /// The wait before the prompt is computed.
  Duration Queue{};
  /// The computation of the part of the prompt that the target does not hold.
  Duration Prefill{};
  /// The generation of the answer beside what the target already runs.
  Duration Decode{};
  /// The sum that is compared; smaller is better.
  Duration Score{};
  /// Prompt tokens that the target is believed to hold.
  std::uint32_t CoveredTokens = 0;
  bool IsEjected = false;
};

enum class ChoiceReason : std::uint8_t {
  /// The best score, without a held prefix.
  LeastLoad,
  /// The best score, with a part of the prompt held.
  PrefixHeld,
  /// Only one target could be taken.
  OnlyOne,
  /// All targets are suspect or ejected, and one of them was tried.
  LastResort,
};

const char *nameOf(ChoiceReason Reason);

struct Choice {
  TargetId Target;
  ChoiceReason Reason = ChoiceReason::LeastLoad;
  /// The estimated time to the first token.
  Duration FirstToken{};
  /// The estimated wait before the prompt is computed.
  Duration Queue{};
  /// The prompt tokens that are to be computed, for TargetTable::dispatched().
  std::uint32_t PrefillTokens = 0;
  /// What was compared; the one taken is among them.
  std::vector<Candidate> Candidates;
};

} // namespace bergamothook

#endif
