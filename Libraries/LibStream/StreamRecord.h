/// \file
/// The envelope of every record that the fleet keeps on the log, and the batch
/// in which records share one append.

#ifndef BERGAMOTHOOK_LIBSTREAM_STREAMRECORD_H
#define BERGAMOTHOOK_LIBSTREAM_STREAMRECORD_H

#include "LibBase/Ids.h"
#include "LibBase/Result.h"
#include "LibStream/StreamError.h"

#include <string>
#include <string_view>
#include <vector>

namespace bergamothook {

/// One record. Its body is encoded by the library that the kind belongs to.
struct StreamRecord {
  /// Chosen by the writer, and kept over every retry of the append.
  RecordId Id;
  Incarnation Writer;
  /// The kind of the body; each stream numbers its own kinds.
  std::uint16_t Kind = 0;
  std::string Body;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Writer, this->Kind, this->Body);
  }
};

/// Where a record stands: its offset, and its place in the batch there. All
/// readers see the same order.
struct RecordPosition {
  Offset At;
  std::uint32_t Index = 0;

  auto operator<=>(const RecordPosition &) const = default;
};

/// Encodes \p Records as the payload of one append.
std::string encodeBatch(const std::vector<StreamRecord> &Records);

/// Decodes what encodeBatch() made. Any other input is a typed error.
Result<std::vector<StreamRecord>> decodeBatch(std::string_view Payload);

} // namespace bergamothook

#endif
