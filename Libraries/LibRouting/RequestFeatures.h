/// \file
/// The properties of a request that determine its target.

#ifndef BERGAMOTHOOK_LIBROUTING_REQUESTFEATURES_H
#define BERGAMOTHOOK_LIBROUTING_REQUESTFEATURES_H

#include "LibBase/Ids.h"
#include "LibBase/WorkClass.h"
#include "LibTarget/PrefixBlocks.h"

#include <span>

namespace bergamothook {

/// A request as seen by the chooser. The spans only have to outlive the call.
struct RequestFeatures {
  RequestId Request;
  ModelId Model;
  WorkClass Class = WorkClass::QuickAnswer;
  /// Larger numbers run first.
  std::int32_t Priority = 0;
  std::uint32_t PromptTokens = 0;
  /// The expected number of answer tokens; at most `max_tokens`.
  std::uint32_t ExpectedTokens = 0;
  /// The hashes of the prompt's blocks, from prefixBlocksOf().
  std::span<const PrefixHash> Prefix;
  /// The targets of earlier attempts, and targets that the caller rules out.
  std::span<const TargetId> Excluded;
  /// The failure domain of this host.
  FailureDomainId Domain;
};

} // namespace bergamothook

#endif
