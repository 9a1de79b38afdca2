/// \file
/// Errors of calls to the platform's log.

#ifndef BERGAMOTHOOK_LIBPLATFORM_LOGERROR_H
#define BERGAMOTHOOK_LIBPLATFORM_LOGERROR_H

#include <system_error>

namespace bergamothook {

enum class LogError {
  /// The call did not reach the log and had no effect.
  Unreachable = 1,
  /// The log's rate limit rejected the call, which had no effect.
  RateLimited,
  /// The response was lost. The call may or may not have taken effect; only
  /// reading the stream can tell.
  ResponseLost,
  /// The requested offset is no longer retained.
  BelowRetention,
  /// The payload exceeds the log's size limit; the call had no effect.
  TooLarge,
  /// The log's response does not follow its protocol.
  MalformedResponse,
};

/// \returns whether the failure proves that the call had no effect.
bool provesNoEffect(std::error_code Failure);

std::error_code make_error_code(LogError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::LogError> : std::true_type {};

#endif
