#include "LibPeer/PeerFrame.h"

#include "LibPeer/MessageCodec.h"

namespace bergamothook {

namespace {
constexpr std::size_t VersionAt = 1;
} // namespace

std::size_t maxFrameBytes(PeerTransport Transport) {
  return Transport == PeerTransport::Datagram ? MaxDatagramBytes
                                              : MaxStreamFrameBytes;
}

Result<std::string> sealFrame(PeerFrameHeader Header, std::string_view Body,
                              const KeyRing &Keys) {
  Header.KeyId = Keys.signingKey();
  std::string Bytes = encodeMessage(Header);
  Bytes.append(Body);
  if (Bytes.size() + sizeof(Signature) > maxFrameBytes(Header.Transport))
    return PeerError::TooLarge;
  Signature Made = Keys.sign(Bytes);
  Bytes.append(Made.begin(), Made.end());
  return Bytes;
}

Result<PeerFrame> openFrame(std::string_view Bytes, PeerTransport Transport,
                            const KeyRing &Keys) {
  if (Bytes.size() > maxFrameBytes(Transport))
    return PeerError::TooLarge;
  if (Bytes.size() <= VersionAt + sizeof(Signature))
    return PeerError::Malformed;
  if (static_cast<std::uint8_t>(Bytes[VersionAt]) != PeerProtocolVersion)
    return PeerError::OtherVersion;
  std::string_view Signed = Bytes.substr(0, Bytes.size() - sizeof(Signature));
  Signature Given;
  std::memcpy(Given.data(), Bytes.data() + Signed.size(), Given.size());
  try {
    detail::BoundedInputArchive Archive(Signed);
    PeerFrame Frame;
    Archive(Frame.Header);
    BOOST_OUTCOME_TRYV(Keys.verify(Frame.Header.KeyId, Signed, Given));
    if (Frame.Header.Transport != Transport)
      return PeerError::Malformed;
    Frame.Body = Archive.rest();
    return Frame;
  } catch (const cereal::Exception &) {
    return PeerError::Malformed;
  }
}

} // namespace bergamothook
