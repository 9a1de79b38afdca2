/// \file
/// The envelope of every record on the log, and the encoding of a batch of
/// records as the payload of one append.

#ifndef BERGAMOTHOOK_LIBSTREAM_STREAMRECORD_H
#define BERGAMOTHOOK_LIBSTREAM_STREAMRECORD_H

#include "LibBase/Ids.h"
#include "LibBase/Result.h"
#include "LibStream/StreamError.h"

#include <string>
#include <string_view>
#include <vector>

namespace bergamothook {

/// One record. The library that defines the kind encodes the body.
struct StreamRecord {
  /// Chosen by the writer, and unchanged across retries of the append.
  RecordId Id;
  Incarnation Writer;
  /// The kind of the body; kinds are numbered per stream.
  std::uint16_t Kind = 0;
  std::string Body;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Writer, this->Kind, this->Body);
  }
};

/// The position of a record in its stream: the offset of its batch and its
/// index in the batch. All readers see the same order.
struct RecordPosition {
  Offset At;
  std::uint32_t Index = 0;

  auto operator<=>(const RecordPosition &) const = default;
};

/// Encodes \p Records as the payload of one append.
std::string encodeBatch(const std::vector<StreamRecord> &Records);

/// Decodes the output of encodeBatch(). \returns a StreamError for any other
/// input.
Result<std::vector<StreamRecord>> decodeBatch(std::string_view Payload);

} // namespace bergamothook

#endif
