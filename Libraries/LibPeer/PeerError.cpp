#include "LibPeer/PeerError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(PeerError Value) {
  switch (Value) {
  case PeerError::Malformed:
    return "the frame or message is malformed";
  case PeerError::TooLarge:
    return "the message is too large";
  case PeerError::OtherVersion:
    return "the protocol version of the frame is not supported";
  case PeerError::UnknownKey:
    return "the signing key is unknown";
  case PeerError::BadSignature:
    return "the signature is invalid";
  case PeerError::OtherRecipient:
    return "the frame is addressed to another host";
  case PeerError::EarlierRun:
    return "the frame is addressed to an earlier run of this host";
  case PeerError::NoSession:
    return "there is no session with the sender's run";
  case PeerError::EndedRun:
    return "the sender's run has ended";
  case PeerError::Replayed:
    return "the frame was received before or is older than the replay window";
  case PeerError::BadHandshake:
    return "the handshake reply matches no pending hello";
  case PeerError::UnknownKind:
    return "there is no handler for the message kind";
  case PeerError::QueueFull:
    return "the send queue of the peer is full";
  case PeerError::Unreachable:
    return "the peer could not be reached";
  case PeerError::BadKeyFile:
    return "the key file is malformed";
  }
  return "unknown peer error";
}

const ErrorCategory<PeerError> &category() {
  static const ErrorCategory<PeerError> Category("peer", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(PeerError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook
