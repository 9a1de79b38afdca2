/// \file
/// The platform's append-only log as the rest of the system sees it. An
/// adapter fills the hooks in for one wire format.

#ifndef BERGAMOTHOOK_LIBPLATFORM_LOGHOOKS_H
#define BERGAMOTHOOK_LIBPLATFORM_LOGHOOKS_H

#include "LibBase/Ids.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibPlatform/LogError.h"

#include <functional>
#include <string>
#include <vector>

namespace bergamothook {

struct LogEntry {
  Offset At;
  std::string Payload;
};

/// A run of entries of one stream, in order and without a hole.
struct LogPage {
  std::vector<LogEntry> Entries;
  /// The oldest offset that the log still holds.
  Offset FirstRetained;
  /// The offset that the next append will get.
  Offset Next;
};

/// Calls of the log. Each blocks the calling task, at most until its deadline.
struct LogHooks {
  /// Appends \p Payload to the stream named. \returns its offset.
  std::function<Result<Offset>(const std::string &Stream, std::string Payload,
                               TimePoint Deadline)>
      Append;

  /// Reads up to \p MaxEntries entries from the offset given. Waits up to
  /// \p Wait for the first entry; a page without entries is no error.
  std::function<Result<LogPage>(const std::string &Stream, Offset From,
                                std::size_t MaxEntries, Duration Wait)>
      Read;
};

} // namespace bergamothook

#endif
