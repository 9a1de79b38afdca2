/// \file
/// What can go wrong on a connection.

#ifndef BERGAMOTHOOK_LIBNET_NETERROR_H
#define BERGAMOTHOOK_LIBNET_NETERROR_H

#include <system_error>

namespace bergamothook {

enum class NetError {
  /// No connection came about; no byte was sent.
  ConnectFailed = 1,
  /// The other side closed the connection in the regular way.
  Closed,
  /// The connection was reset, or its packets went unanswered for too long.
  Reset,
  /// The deadline passed.
  TimedOut,
  /// The bytes are no message of the protocol.
  Malformed,
  /// The head of a message is larger than allowed.
  HeadTooLarge,
  /// The body of a message is larger than allowed.
  BodyTooLarge,
  /// The owner of the connection gave up waiting.
  Cancelled,
};

std::error_code make_error_code(NetError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::NetError> : std::true_type {};

#endif
