#include "LibPeer/PeerFrame.h"

#include "LibPeer/MessageCodec.h"

namespace bergamothook {

namespace {
constexpr std::size_t VersionOffset = 1;
} // namespace

std::size_t maxFrameBytes(PeerTransport Transport) {
  return Transport == PeerTransport::Datagram ? MaxDatagramBytes
                                              : MaxStreamFrameBytes;
}

Result<std::string> encodeSignedFrame(PeerFrameHeader Header,
                                      std::string_view Body,
                                      const KeyRing &Keys) {
  Header.KeyId = Keys.signingKeyId();
  std::string Bytes = encodeMessage(Header);
  Bytes.append(Body);
  if (Bytes.size() + sizeof(Signature) > maxFrameBytes(Header.Transport))
    return PeerError::TooLarge;
  Signature FrameSignature = Keys.sign(Bytes);
  Bytes.append(FrameSignature.begin(), FrameSignature.end());
  return Bytes;
}

Result<PeerFrame> decodeSignedFrame(std::string_view Bytes,
                                    PeerTransport Transport,
                                    const KeyRing &Keys) {
  if (Bytes.size() > maxFrameBytes(Transport))
    return PeerError::TooLarge;
  if (Bytes.size() <= VersionOffset + sizeof(Signature))
    return PeerError::Malformed;
  if (static_cast<std::uint8_t>(Bytes[VersionOffset]) != PeerProtocolVersion)
    return PeerError::OtherVersion;
  std::string_view SignedBytes =
      Bytes.substr(0, Bytes.size() - sizeof(Signature));
  Signature FrameSignature;
  std::memcpy(FrameSignature.data(), Bytes.data() + SignedBytes.size(),
              FrameSignature.size());
  try {
    detail::BoundedInputArchive Archive(SignedBytes);
    PeerFrame Frame;
    Archive(Frame.Header);
    BOOST_OUTCOME_TRYV(
        Keys.verify(Frame.Header.KeyId, SignedBytes, FrameSignature));
    if (Frame.Header.Transport != Transport)
      return PeerError::Malformed;
    Frame.Body = Archive.remaining();
    return Frame;
  } catch (const cereal::Exception &) {
    return PeerError::Malformed;
  }
}

} // namespace bergamothook
