/// \file
/// The platform's log, kept in memory, with the faults that the real one has.

#ifndef BERGAMOTHOOK_LIBSTANDIN_MEMORYLOG_H
#define BERGAMOTHOOK_LIBSTANDIN_MEMORYLOG_H

#include "LibBase/Random.h"
#include "LibPlatform/LogHooks.h"

#include <deque>
#include <map>

namespace bergamothook {

/// Faults of the log. They can be changed at any time.
struct LogFaults {
  /// Every call fails without an effect.
  bool IsDown = false;
  /// The share of appends that fail without an effect and without an answer.
  double LoseBeforeEffect = 0;
  /// The share of appends that take effect and then lose their answer.
  double LoseAfterEffect = 0;
  /// Time that each call takes before it has its effect.
  Duration Latency = Duration::zero();
};

/// The largest sizes and rates that the log takes.
struct LogLimits {
  double AppendsPerSecond = 300;
  double AppendBurst = 300;
  std::size_t MaxPayloadBytes = 1 << 20;
  /// How long an entry is kept.
  Duration Retention = std::chrono::hours(24);
};

/// A log of many streams. It reads no clock and takes no lock: one thread, or
/// the tasks of one runtime, use it.
class MemoryLog {
public:
  MemoryLog(LogLimits Limits, std::uint64_t Seed);

  /// Appends at the time \p Now, under the faults in force.
  Result<Offset> append(const std::string &Stream, std::string Payload,
                        TimePoint Now);

  /// Reads what is there at the time \p Now. Never waits.
  Result<LogPage> read(const std::string &Stream, Offset From,
                       std::size_t MaxEntries, TimePoint Now);

  /// Drops the entries that are older than the retention.
  void expire(TimePoint Now);

  /// Drops every entry of \p Stream below \p Below.
  void truncate(const std::string &Stream, Offset Below);

  LogFaults Faults;
  LogLimits Limits;

  /// The number of appends that took effect.
  std::uint64_t Appends = 0;

private:
  struct Kept {
    TimePoint At;
    std::string Payload;
  };
  struct Stream {
    std::uint64_t First = 0;
    std::deque<Kept> Entries;
  };

  bool takeAppendToken(TimePoint Now);

  std::map<std::string, Stream> Streams;
  Random Dice;
  double Tokens;
  TimePoint LastRefill{};
};

} // namespace bergamothook

#endif
