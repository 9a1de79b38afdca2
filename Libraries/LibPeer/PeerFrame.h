/// \file
/// The envelope of every message between hosts.

#ifndef BERGAMOTHOOK_LIBPEER_PEERFRAME_H
#define BERGAMOTHOOK_LIBPEER_PEERFRAME_H

#include "LibBase/Ids.h"
#include "LibPeer/KeyRing.h"

namespace bergamothook {

/// How a frame travels.
enum class PeerTransport : std::uint8_t {
  /// Over UDP: small, may be lost, repeated or overtaken.
  Datagram,
  /// Over TCP: must arrive.
  Stream,
};

constexpr std::size_t PeerTransportCount = 2;

constexpr std::uint8_t PeerProtocolVersion = 1;
constexpr std::size_t MaxDatagramBytes = 1400;
constexpr std::size_t MaxStreamFrameBytes = 96 * 1024;

/// The largest body that fits in a datagram.
constexpr std::size_t MaxDatagramBody = MaxDatagramBytes - 80;

/// What is signed together with the body.
struct PeerFrameHeader {
  std::uint8_t Version = PeerProtocolVersion;
  std::uint8_t KeyId = 0;
  PeerTransport Transport = PeerTransport::Datagram;
  std::uint16_t Kind = 0;
  Incarnation Sender;
  /// The run of the recipient is 0 only in the first message of a handshake.
  Incarnation Recipient;
  /// Counts the frames of this sender to this recipient and transport, from 1.
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

/// The most bytes of a frame over \p Transport.
std::size_t maxFrameBytes(PeerTransport Transport);

/// Signs and writes a frame; PeerError::TooLarge if it can't travel that way.
Result<std::string> sealFrame(PeerFrameHeader Header, std::string_view Body,
                              const KeyRing &Keys);

/// Reads a frame that came over \p Transport and checks its signature. Says
/// nothing about recipient, sender's run and replay.
Result<PeerFrame> openFrame(std::string_view Bytes, PeerTransport Transport,
                            const KeyRing &Keys);

} // namespace bergamothook

#endif
