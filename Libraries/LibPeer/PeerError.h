/// \file
/// The reasons for which a message between hosts is refused.

#ifndef BERGAMOTHOOK_LIBPEER_PEERERROR_H
#define BERGAMOTHOOK_LIBPEER_PEERERROR_H

#include <cstddef>
#include <system_error>

namespace bergamothook {

enum class PeerError {
  /// The frame or the body of the message can't be decoded.
  Malformed = 1,
  /// The frame or the message is larger than its transport allows.
  TooLarge,
  /// The frame has a protocol version that this release does not support.
  OtherVersion,
  /// The key ring does not have the key that signed the frame.
  UnknownKey,
  /// The signature does not match: the sender lacks the key, or the frame is
  /// corrupted.
  BadSignature,
  /// The frame is addressed to another host.
  OtherRecipient,
  /// The frame is addressed to another run of this host, usually an earlier
  /// one.
  EarlierRun,
  /// There is no session with the sender's run yet; a handshake has been
  /// started.
  NoSession,
  /// The sender's run has ended: a later run has replaced it, or the host has
  /// left the fleet.
  EndedRun,
  /// The frame was received before, or is older than the replay window.
  Replayed,
  /// The handshake reply does not match a pending hello of this host.
  BadHandshake,
  /// No handler is registered for messages of this kind.
  UnknownKind,
  /// The send queue of the peer is full.
  QueueFull,
  /// The peer could not be reached.
  Unreachable,
  /// The key file is malformed.
  BadKeyFile,
};

constexpr std::size_t PeerErrorCount = 15;

std::error_code make_error_code(PeerError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::PeerError> : std::true_type {};

#endif
