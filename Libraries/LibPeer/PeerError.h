/// \file
/// Why a message between hosts is refused.

#ifndef BERGAMOTHOOK_LIBPEER_PEERERROR_H
#define BERGAMOTHOOK_LIBPEER_PEERERROR_H

#include <cstddef>
#include <system_error>

namespace bergamothook {

enum class PeerError {
  /// The bytes are no frame, or the body is no message of its kind.
  Malformed = 1,
  /// The frame or the message is larger than its transport allows.
  TooLarge,
  /// The frame is of a protocol version that this release does not speak.
  OtherVersion,
  /// The frame is signed with a key that is not in force.
  UnknownKey,
  /// The signature is wrong: the sender is a stranger, or the frame damaged.
  BadSignature,
  /// The frame is meant for another host.
  OtherRecipient,
  /// The frame is meant for an earlier run of this host.
  EarlierRun,
  /// The sender's run is not known yet; a handshake is under way.
  NoSession,
  /// The sender's run has ended: a later run has taken its place.
  EndedRun,
  /// The frame was received before, or is too old to tell.
  Replayed,
  /// The answer of a handshake does not match a question of this host.
  BadHandshake,
  /// No handler takes messages of this kind.
  UnknownKind,
  /// Too much waits to be sent to the peer.
  QueueFull,
  /// The peer could not be reached.
  Unreachable,
  /// The key file is not of its format.
  BadKeyFile,
};

constexpr std::size_t PeerErrorCount = 15;

std::error_code make_error_code(PeerError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::PeerError> : std::true_type {};

#endif
