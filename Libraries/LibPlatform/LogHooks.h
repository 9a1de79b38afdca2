/// \file
/// Interface to the platform's append-only log. An adapter implements the hooks
/// for one wire format.

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

/// Consecutive entries of one stream, in order and without gaps.
struct LogPage {
  std::vector<LogEntry> Entries;
  /// The oldest offset that the log still retains.
  Offset FirstRetained;
  /// The offset of the next append.
  Offset Next;
};

/// Calls to the log. Each blocks the calling task, at most until its deadline.
struct LogHooks {
  /// Appends \p Payload to \p Stream. \returns its offset.
  std::function<Result<Offset>(const std::string &Stream, std::string Payload,
                               TimePoint Deadline)>
      Append;

  /// Reads up to \p MaxEntries entries, starting at offset \p From. Waits up to
  /// \p Wait for the first entry; an empty page is not an error.
  std::function<Result<LogPage>(const std::string &Stream, Offset From,
                                std::size_t MaxEntries, Duration Wait)>
      Read;
};

} // namespace bergamothook

#endif
