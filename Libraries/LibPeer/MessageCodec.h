/// \file
/// Encodes the bodies of messages between hosts with cereal.

#ifndef BERGAMOTHOOK_LIBPEER_MESSAGECODEC_H
#define BERGAMOTHOOK_LIBPEER_MESSAGECODEC_H

#include "LibBase/Result.h"
#include "LibPeer/BoundedInputArchive.h"
#include "LibPeer/PeerError.h"

#include <sstream>

namespace bergamothook {

/// Encodes \p Message, which has a serialize() member or is known to cereal.
template <typename Message> std::string encodeMessage(const Message &Body) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(
        Out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    Archive(Body);
  }
  return std::move(Out).str();
}

/// Decodes what encodeMessage() made; PeerError::Malformed for other bytes,
/// and for bytes left over.
template <typename Message> Result<Message> decodeMessage(std::string_view In) {
  try {
    detail::BoundedInputArchive Archive(In);
    Message Body;
    Archive(Body);
    if (!Archive.rest().empty())
      return PeerError::Malformed;
    return Body;
  } catch (const cereal::Exception &) {
    return PeerError::Malformed;
  }
}

} // namespace bergamothook

#endif
