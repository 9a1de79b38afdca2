/// \file
/// Errors of network connections and of the messages on them.

#ifndef BERGAMOTHOOK_LIBNET_NETERROR_H
#define BERGAMOTHOOK_LIBNET_NETERROR_H

#include <system_error>

namespace bergamothook {

enum class NetError {
  /// The connection was not established; no byte was sent.
  ConnectFailed = 1,
  /// The peer closed the connection in an orderly way.
  Closed,
  /// The connection was reset, or sent data stayed unacknowledged for too long.
  Reset,
  /// The deadline passed.
  TimedOut,
  /// The bytes are not a valid message of the protocol.
  Malformed,
  /// The head of a message exceeds the size limit.
  HeadTooLarge,
  /// The body of a message exceeds the size limit.
  BodyTooLarge,
  /// The caller cancelled the wait.
  Cancelled,
  /// There is no memory for the bytes of the message.
  OutOfMemory,
  /// The peer is not known to be the expected one; no message was sent to it.
  UnexpectedPeer,
};

std::error_code make_error_code(NetError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::NetError> : std::true_type {};

#endif
