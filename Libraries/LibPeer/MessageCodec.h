/// \file
/// Serializes the bodies of messages between hosts with cereal.

#ifndef BERGAMOTHOOK_LIBPEER_MESSAGECODEC_H
#define BERGAMOTHOOK_LIBPEER_MESSAGECODEC_H

#include "LibBase/Result.h"
#include "LibPeer/BoundedInputArchive.h"
#include "LibPeer/PeerError.h"

#include <sstream>

namespace bergamothook {

/// Encodes \p Body. \p Message has a serialize() member or is a type that
/// cereal supports.
template <typename Message> std::string encodeMessage(const Message &Body) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(
        Out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    Archive(Body);
  }
  return std::move(Out).str();
}

/// Decodes the output of encodeMessage(). Fails with PeerError::Malformed on
/// other input and on trailing bytes.
template <typename Message>
Result<Message> decodeMessage(std::string_view Bytes) {
  try {
    detail::BoundedInputArchive Archive(Bytes);
    Message Body;
    Archive(Body);
    if (!Archive.remaining().empty())
      return PeerError::Malformed;
    return Body;
  } catch (const cereal::Exception &) {
    return PeerError::Malformed;
  }
}

} // namespace bergamothook

#endif
