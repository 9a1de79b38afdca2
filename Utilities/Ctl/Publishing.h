/// \file
/// How commands put records on the log and read streams back.

#ifndef BERGAMOTHOOK_UTILITIES_CTL_PUBLISHING_H
#define BERGAMOTHOOK_UTILITIES_CTL_PUBLISHING_H

#include "Command.h"
#include "LibStream/StreamRecord.h"

namespace bergamothook {

/// Names this run of the tool as the writer of records.
Incarnation writerOf(const CommandContext &Context);

/// Makes an identifier that no other record has.
RecordId makeRecordId();

/// Appends \p Record to \p Stream and waits until it was read back.
/// \p Seen, where given, is called for each record read meanwhile.
Result<RecordPosition> publishRecord(
    CommandContext &Context, const std::string &Stream, StreamRecord Record,
    std::function<void(const StreamRecord &, RecordPosition)> Seen = {});

/// Reads \p Stream from \p From to its present end. \returns the offset that
/// is read next.
Result<Offset> readStream(
    CommandContext &Context, const std::string &Stream, Offset From,
    const std::function<void(const StreamRecord &, RecordPosition)> &Seen);

} // namespace bergamothook

#endif
