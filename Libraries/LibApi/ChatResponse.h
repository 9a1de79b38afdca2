/// \file
/// Writes a chat completion in the shape that the clients of the ecosystem
/// read, whole or as server-sent events.

#ifndef BERGAMOTHOOK_LIBAPI_CHATRESPONSE_H
#define BERGAMOTHOOK_LIBAPI_CHATRESPONSE_H

#include "LibApi/ApiFailure.h"

#include <string>

namespace bergamothook {

/// What was counted for an answer.
struct ChatUsage {
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedPromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
};

/// The fields that are the same in every piece of one answer.
struct ChatResponse {
  std::string Id;
  std::string Model;
  std::int64_t CreatedSeconds = 0;

  /// The event that carries the next piece of text.
  std::string textEvent(const std::string &Text, bool IsFirst) const;

  /// The event that says why the text ended: "stop" or "length".
  std::string finishEvent(const std::string &Reason) const;

  std::string usageEvent(const ChatUsage &Counted) const;

  /// The event that tells of a failure after the answer had begun. No
  /// doneEvent() follows it, so that a cut answer never looks whole.
  static std::string problemEvent(const ApiProblem &Problem);

  /// The event that marks the end of a whole answer.
  static std::string doneEvent();

  /// The whole answer as one JSON object.
  std::string completionBody(const std::string &Text, const std::string &Reason,
                             const ChatUsage &Counted) const;
};

} // namespace bergamothook

#endif
