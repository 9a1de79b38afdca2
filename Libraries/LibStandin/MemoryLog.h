/// \file
/// An in-memory implementation of the platform's log with fault injection.

#ifndef BERGAMOTHOOK_LIBSTANDIN_MEMORYLOG_H
#define BERGAMOTHOOK_LIBSTANDIN_MEMORYLOG_H

#include "LibBase/Random.h"
#include "LibPlatform/LogHooks.h"

#include <deque>
#include <map>

namespace bergamothook {

/// Injected faults. They can be changed at any time.
struct LogFaults {
  /// Every call fails without an effect.
  bool IsDown = false;
  /// The probability that an append has no effect and gets no response.
  double LoseBeforeEffect = 0;
  /// The probability that an append takes effect but its response is lost.
  double LoseAfterEffect = 0;
  /// The time before a call takes effect.
  Duration Latency = Duration::zero();
};

/// Size, rate and retention limits.
struct LogLimits {
  double AppendsPerSecond = 300;
  double AppendBurst = 300;
  std::size_t MaxPayloadBytes = 1 << 20;
  /// How long an entry is kept.
  Duration Retention = std::chrono::hours(24);
};

/// A log of many streams. It reads no clock. Not thread-safe: use it from one
/// thread or from the tasks of one runtime.
class MemoryLog {
public:
  MemoryLog(LogLimits Limits, std::uint64_t Seed);

  /// Appends at the time \p Now, subject to Faults and Limits.
  Result<Offset> append(const std::string &Stream, std::string Payload,
                        TimePoint Now);

  /// Reads the entries retained at the time \p Now. Never waits.
  Result<LogPage> read(const std::string &Stream, Offset From,
                       std::size_t MaxEntries, TimePoint Now);

  /// Drops the entries older than the retention.
  void expire(TimePoint Now);

  /// Drops every entry of \p Stream below \p Below.
  void truncate(const std::string &Stream, Offset Below);

  LogFaults Faults;
  LogLimits Limits;

  /// The number of appends that took effect.
  std::uint64_t Appends = 0;

private:
  struct StoredEntry {
    TimePoint At;
    std::string Payload;
  };
  struct StoredStream {
    std::uint64_t FirstOffset = 0;
    std::deque<StoredEntry> Entries;
  };

  bool takeAppendToken(TimePoint Now);

  std::map<std::string, StoredStream> Streams;
  Random Rng;
  double Tokens;
  TimePoint LastRefill{};
};

} // namespace bergamothook

#endif
