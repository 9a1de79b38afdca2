/// \file
/// Serializes chat completion responses in the OpenAI-compatible format, as a
/// single JSON object or as server-sent events.

#ifndef BERGAMOTHOOK_LIBAPI_CHATRESPONSE_H
#define BERGAMOTHOOK_LIBAPI_CHATRESPONSE_H

#include "LibApi/ApiFailure.h"

#include <string>

namespace bergamothook {

/// Token usage of one completion.
struct ChatUsage {
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedPromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
};

/// Fields common to all chunks of one response.
struct ChatResponse {
  std::string Id;
  std::string Model;
  std::int64_t CreatedSeconds = 0;

  /// \returns the event with the next text delta.
  std::string textEvent(const std::string &Text, bool IsFirst) const;

  /// \returns the event with the finish reason, "stop" or "length".
  std::string finishEvent(const std::string &Reason) const;

  std::string usageEvent(const ChatUsage &TokenUsage) const;

  /// \returns the event that reports a failure after streaming has started.
  /// doneEvent() must not follow it, so that a client cannot mistake a
  /// truncated response for a complete one.
  static std::string problemEvent(const ApiProblem &Problem);

  /// \returns the event that marks the end of a complete response.
  static std::string doneEvent();

  /// \returns the complete response as one JSON object.
  std::string completionBody(const std::string &Text, const std::string &Reason,
                             const ChatUsage &TokenUsage) const;
};

} // namespace bergamothook

#endif
