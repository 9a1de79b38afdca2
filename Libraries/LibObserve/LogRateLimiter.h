/// \file
/// Rate limiting of log lines.

#ifndef BERGAMOTHOOK_LIBOBSERVE_LOGRATELIMITER_H
#define BERGAMOTHOOK_LIBOBSERVE_LOGRATELIMITER_H

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamothook {

enum class LogLevel { Debug, Info, Warning, Error };

struct LogRateLimits {
  /// The sustained rate of a process. A refused call logs one line, and a host
  /// in production receives some tens of calls per second.
  double LinesPerSecond = 500;
  /// The same rate in bytes, for lines of about 500 bytes, the typical length.
  double BytesPerSecond = 256 * 1024;
  /// The size of the token buckets, as the time at the sustained rate that
  /// they hold.
  Duration Burst = std::chrono::seconds(2);
  /// The maximum size of the queue of lines while the log's reader is slow:
  /// four seconds at the sustained rate.
  std::size_t MaxQueuedBytes = 1024 * 1024;
};

/// The number of dropped lines by event name.
using DroppedLines = std::map<std::string, std::uint64_t>;

/// Limits log output with two token buckets, one for lines and one for bytes.
/// Lines below LogLevel::Warning are dropped once either bucket is less than
/// half full, so that a flood of them leaves room for refusals and failures.
/// Keeps log output bounded during a retry storm.
class LogRateLimiter {
public:
  LogRateLimiter(LogRateLimits Limits, TimePoint Now);

  /// Takes the tokens for a line of \p Bytes bytes. \returns false, without
  /// taking any, if the line must be dropped.
  bool admit(LogLevel Level, std::size_t Bytes, TimePoint Now);

  /// Counts lines that were dropped, here or by the writer.
  void countDropped(std::string_view Event, std::uint64_t Lines = 1);

  /// Takes the counts of lines dropped since the last report, at most once per
  /// second. \returns an empty map if nothing was dropped or the last report is
  /// less than a second old.
  DroppedLines takeDropped(TimePoint Now);

private:
  void refill(TimePoint Now);

  LogRateLimits Limits;
  double Lines;
  double Bytes;
  TimePoint RefilledAt;
  TimePoint ReportedAt;
  DroppedLines Dropped;
};

} // namespace bergamothook

#endif
