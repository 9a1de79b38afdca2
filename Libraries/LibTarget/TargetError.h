/// \file
/// What can go wrong with a call of a target.

#ifndef BERGAMOTHOOK_LIBTARGET_TARGETERROR_H
#define BERGAMOTHOOK_LIBTARGET_TARGETERROR_H

#include <system_error>

namespace bergamothook {

enum class TargetError {
  /// No connection came about, so no byte of the request was sent.
  ConnectFailed = 1,
  /// The target itself said that it did not run the request.
  Refused,
  /// The connection ended after bytes of the request were sent.
  ConnectionLost,
  /// Nothing came before the deadline. The target may be well; the connection
  /// may be dead.
  TimedOut,
  /// The target refused the order for its old fencing number: it did not run.
  StaleFencingNumber,
  /// The target has no such stream.
  UnknownStream,
  /// The target answered with something that is not of its protocol.
  BadAnswer,
  /// The target says that the request itself is at fault, and did not run it.
  BadRequest,
};

/// Tells whether the failure proves that the target did not run the request.
bool provesNotRun(std::error_code Failure);

std::error_code make_error_code(TargetError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::TargetError> : std::true_type {};

#endif
