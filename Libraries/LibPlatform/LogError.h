/// \file
/// What can go wrong with a call of the platform's log.

#ifndef BERGAMOTHOOK_LIBPLATFORM_LOGERROR_H
#define BERGAMOTHOOK_LIBPLATFORM_LOGERROR_H

#include <system_error>

namespace bergamothook {

enum class LogError {
  /// The call did not reach the log: it had no effect.
  Unreachable = 1,
  /// The log refused the call for its rate limit: it had no effect.
  RateLimited,
  /// No answer came. The call may or may not have had its effect, and only
  /// reading the stream can tell.
  ResponseLost,
  /// The offset asked for is no longer retained.
  BelowRetention,
  /// The payload is larger than the log takes: it had no effect.
  TooLarge,
  /// The log answered with something that is not of its protocol.
  MalformedResponse,
};

/// Tells whether the failure proves that the call had no effect.
bool provesNoEffect(std::error_code Failure);

std::error_code make_error_code(LogError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::LogError> : std::true_type {};

#endif
