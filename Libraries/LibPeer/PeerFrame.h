/// \file
/// The signed frame that carries each message between hosts.

#ifndef BERGAMOTHOOK_LIBPEER_PEERFRAME_H
#define BERGAMOTHOOK_LIBPEER_PEERFRAME_H

#include "LibBase/Ids.h"
#include "LibPeer/KeyRing.h"

namespace bergamothook {

/// The transport of a frame.
enum class PeerTransport : std::uint8_t {
  /// UDP: small frames that may be lost, duplicated or reordered.
  Datagram,
  /// TCP: frames that must be delivered.
  Stream,
};

constexpr std::size_t PeerTransportCount = 2;

constexpr std::uint8_t PeerProtocolVersion = 1;
constexpr std::size_t MaxDatagramBytes = 1400;
constexpr std::size_t MaxStreamFrameBytes = 96 * 1024;

/// The largest body that fits in a datagram next to header and signature.
constexpr std::size_t MaxDatagramBodyBytes = MaxDatagramBytes - 80;

/// The header of a frame. The signature covers it together with the body.
struct PeerFrameHeader {
  std::uint8_t Version = PeerProtocolVersion;
  std::uint8_t KeyId = 0;
  PeerTransport Transport = PeerTransport::Datagram;
  std::uint16_t Kind = 0;
  Incarnation Sender;
  /// Its run is 0 only in the first message of a handshake, the hello.
  Incarnation Recipient;
  /// Numbers the frames of this sender to this recipient over this transport,
  /// from 1. Handshake frames have 0.
  std::uint64_t Sequence = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->KeyId, this->Transport, this->Kind, this->Sender,
       this->Recipient, this->Sequence);
  }
};

struct PeerFrame {
  PeerFrameHeader Header;
  std::string Body;
};

/// The maximum size of a frame over \p Transport, in bytes.
std::size_t maxFrameBytes(PeerTransport Transport);

/// Encodes and signs a frame. Fails with PeerError::TooLarge if the frame
/// exceeds the limit of its transport.
Result<std::string> encodeSignedFrame(PeerFrameHeader Header,
                                      std::string_view Body,
                                      const KeyRing &Keys);

/// Decodes a frame received over \p Transport and verifies its signature. Does
/// not check the recipient, the sender's run or replay.
Result<PeerFrame> decodeSignedFrame(std::string_view Bytes,
                                    PeerTransport Transport,
                                    const KeyRing &Keys);

} // namespace bergamothook

#endif
