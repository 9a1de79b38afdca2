/// \file
/// Decides which log lines are written when there are more than the bound
/// allows.

#ifndef BERGAMOTHOOK_LIBOBSERVE_LOGBOUND_H
#define BERGAMOTHOOK_LIBOBSERVE_LOGBOUND_H

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamothook {

enum class LogLevel { Debug, Info, Warning, Error };

struct LogVolume {
  /// What a process may write in the long run. A refused call is one line, and
  /// a host of the users' sites gets some tens of calls a second.
  double LinesPerSecond = 500;
  /// Lines of 500 bytes, the usual length, at that rate.
  double BytesPerSecond = 256 * 1024;
  /// What may come at once after a calm time.
  Duration Burst = std::chrono::seconds(2);
  /// Lines that wait while the reader of the log is slow: four seconds at that
  /// rate.
  std::size_t WaitingBytes = 1024 * 1024;
};

/// The number of lines that were not written, by the name of the event.
using DroppedLines = std::map<std::string, std::uint64_t>;

/// A token bucket of lines and one of bytes. Lines below LogLevel::Warning are
/// dropped while less than half is left, so that a flood of them leaves room
/// for refusals and failures. Answers the load of a retry storm.
class LogBound {
public:
  LogBound(LogVolume Limits, TimePoint Now);

  /// Tells whether a line may be written, and takes its part if so.
  bool admit(LogLevel Level, std::size_t Bytes, TimePoint Now);

  /// Counts lines that were not written, whatever the reason.
  void countDropped(std::string_view Event, std::uint64_t Lines = 1);

  /// Gives what was dropped since the last call, at most once a second; empty
  /// if there is nothing to tell.
  DroppedLines takeDropped(TimePoint Now);

private:
  void refill(TimePoint Now);

  LogVolume Limits;
  double Lines;
  double Bytes;
  TimePoint RefilledAt;
  TimePoint ToldAt;
  DroppedLines Dropped;
};

} // namespace bergamothook

#endif
