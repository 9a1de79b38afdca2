/// \file
/// What the choice of a target depends on.

#ifndef BERGAMOTHOOK_LIBROUTING_REQUESTFEATURES_H
#define BERGAMOTHOOK_LIBROUTING_REQUESTFEATURES_H

#include "LibBase/Ids.h"
#include "LibBase/WorkClass.h"
#include "LibTarget/PrefixBlocks.h"

#include <span>

namespace bergamothook {

/// One request as the chooser sees it. The spans outlive the call only.
struct RequestFeatures {
  RequestId Request;
  ModelId Model;
  WorkClass Class = WorkClass::QuickAnswer;
  /// Larger numbers run first.
  std::int32_t Priority = 0;
  std::uint32_t PromptTokens = 0;
  /// The tokens that the answer is expected to have; at most `max_tokens`.
  std::uint32_t ExpectedTokens = 0;
  /// The names of the prompt's blocks, from prefixBlocksOf().
  std::span<const PrefixHash> Prefix;
  /// Targets of earlier attempts, and targets that the caller rules out.
  std::span<const TargetId> Excluded;
  /// The failure domain of this host.
  FailureDomainId Domain;
};

} // namespace bergamothook

#endif
