#include "LibPeer/PeerError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(PeerError Value) {
  switch (Value) {
  case PeerError::Malformed:
    return "the bytes are not a message";
  case PeerError::TooLarge:
    return "the message is too large";
  case PeerError::OtherVersion:
    return "the frame is of another protocol version";
  case PeerError::UnknownKey:
    return "the signing key is not in force";
  case PeerError::BadSignature:
    return "the signature is wrong";
  case PeerError::OtherRecipient:
    return "the frame is meant for another host";
  case PeerError::EarlierRun:
    return "the frame is meant for an earlier run of this host";
  case PeerError::NoSession:
    return "there is no session with the sender's run";
  case PeerError::EndedRun:
    return "the sender's run has ended";
  case PeerError::Replayed:
    return "the frame was received before";
  case PeerError::BadHandshake:
    return "the handshake does not match";
  case PeerError::UnknownKind:
    return "the kind of the message is unknown";
  case PeerError::QueueFull:
    return "too much waits to be sent";
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
