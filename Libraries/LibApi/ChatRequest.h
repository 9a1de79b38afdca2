/// \file
/// A chat completion as callers ask for it, in the shape that the clients of
/// the ecosystem send.

#ifndef BERGAMOTHOOK_LIBAPI_CHATREQUEST_H
#define BERGAMOTHOOK_LIBAPI_CHATREQUEST_H

#include "LibApi/ApiFailure.h"
#include "LibBase/Result.h"

#include <string>
#include <string_view>

namespace bergamothook {

struct ChatRequest {
  std::string Model;
  /// The messages, one after another, each with its role before it.
  std::string Prompt;
  /// 0 when the caller set no limit.
  std::uint32_t MaxTokens = 0;
  bool IsStreamed = false;
  bool IncludesUsage = false;
  /// The class of work that the caller names; empty for the team's default.
  std::string WorkClass;

  /// The most tokens that the prompt can count, since no token is shorter than
  /// one byte.
  std::uint64_t promptTokenBound() const { return this->Prompt.size(); }
};

/// A request, or the problem that its caller is answered.
template <typename T>
using ApiResult =
    boost::outcome_v2::basic_result<T, ApiProblem,
                                    boost::outcome_v2::policy::all_narrow>;

/// Reads the body of POST /v1/chat/completions.
ApiResult<ChatRequest> parseChatRequest(std::string_view Body);

} // namespace bergamothook

#endif
