/// \file
/// Errors of calls to targets.

#ifndef BERGAMOTHOOK_LIBTARGET_TARGETERROR_H
#define BERGAMOTHOOK_LIBTARGET_TARGETERROR_H

#include <system_error>

namespace bergamothook {

enum class TargetError {
  /// No connection was established, so no byte of the request was sent.
  ConnectFailed = 1,
  /// The target reported that it did not run the request.
  Refused,
  /// The connection was lost after bytes of the request were sent.
  ConnectionLost,
  /// Nothing was received before the deadline. The target may be healthy and
  /// only the connection dead.
  TimedOut,
  /// The target rejected the request because it has seen a larger fencing
  /// number, and did not run it.
  StaleFencingNumber,
  /// The target does not know the stream.
  UnknownStream,
  /// The response of the target violates its protocol.
  BadAnswer,
  /// The target reported the request as invalid and did not run it.
  BadRequest,
};

/// \returns whether \p Failure proves that the target did not run the request.
bool provesNotRun(std::error_code Failure);

std::error_code make_error_code(TargetError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::TargetError> : std::true_type {};

#endif
