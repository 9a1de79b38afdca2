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

/// Appends \p Record to \p Stream and waits until it was read back. \p Seen is
/// called for each record from \p From on up to and with \p Record, so that a
/// fold that has come up to \p From misses none.
Result<RecordPosition>
publishRecord(CommandContext &Context, const std::string &Stream,
              StreamRecord Record, Offset From,
              std::function<void(const StreamRecord &, RecordPosition)> Seen);

/// The same for a caller that needs no other record.
Result<RecordPosition> publishRecord(CommandContext &Context,
                                     const std::string &Stream,
                                     StreamRecord Record);

/// Reads \p Stream from \p From to its present end. \returns the offset that
/// is read next.
Result<Offset> readStream(
    CommandContext &Context, const std::string &Stream, Offset From,
    const std::function<void(const StreamRecord &, RecordPosition)> &Seen);

} // namespace bergamothook

#endif
