/// \file
/// Parses chat completion requests in the OpenAI-compatible format.

#ifndef BERGAMOTHOOK_LIBAPI_CHATREQUEST_H
#define BERGAMOTHOOK_LIBAPI_CHATREQUEST_H

#include "LibApi/ApiFailure.h"
#include "LibBase/Result.h"

#include <string>
#include <string_view>

namespace bergamothook {

struct ChatRequest {
  std::string Model;
  /// All messages concatenated, each preceded by its role as "<role>".
  std::string Prompt;
  /// 0 if the caller set no limit.
  std::uint32_t MaxTokens = 0;
  bool IsStreamed = false;
  bool IncludesUsage = false;
  /// Work class requested by the caller; empty for the team's default.
  std::string WorkClass;

  /// \returns an upper bound on the number of prompt tokens: each token covers
  /// at least one byte.
  std::uint64_t promptTokenBound() const { return this->Prompt.size(); }
};

/// A value, or the problem to report to the caller.
template <typename T>
using ApiResult =
    boost::outcome_v2::basic_result<T, ApiProblem,
                                    boost::outcome_v2::policy::all_narrow>;

/// Parses and validates the body of POST /v1/chat/completions.
ApiResult<ChatRequest> parseChatRequest(std::string_view Body);

} // namespace bergamothook

#endif
