/// \file
/// Reads one stream of the log in order and delivers its records.

#ifndef BERGAMOTHOOK_LIBSTREAM_STREAMFOLLOWER_H
#define BERGAMOTHOOK_LIBSTREAM_STREAMFOLLOWER_H

#include "LibBase/Random.h"
#include "LibPlatform/LogHooks.h"
#include "LibStream/StreamRecord.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// The callbacks of a follower.
struct StreamFollowerHooks {
  /// Called with each record in order. Duplicates of a record are delivered
  /// too; the fold must recognize them by the identifiers that they contain.
  std::function<void(const StreamRecord &, RecordPosition)> Apply;
  /// Called with a payload that is not a valid batch. The follower continues
  /// with the next entry; all hosts skip the same entries.
  std::function<void(const LogEntry &, std::error_code)> Skip;
  /// Called when the next offset is no longer retained. Loads a snapshot and
  /// returns the offset up to which it covers the stream. On an error the
  /// follower retries later, since folding across a gap would give a wrong
  /// state.
  std::function<Result<Offset>()> Recover;
};

struct StreamFollowerLimits {
  std::size_t MaxEntriesPerRead = 256;
  Duration LongPoll = std::chrono::seconds(2);
  Duration RetryInterval = std::chrono::milliseconds(200);
};

/// The position of one reader in one stream, and the task that advances it.
class StreamFollower {
public:
  StreamFollower(std::string Stream, Offset From, LogHooks Log, Runtime Tasks,
                 StreamFollowerHooks Hooks, StreamFollowerLimits Limits,
                 std::uint64_t Seed);

  /// Reads once and delivers the entries. \returns the number of entries read.
  Result<std::size_t> step(Duration Wait);

  /// Reads until stop(). Runs as a task of its own.
  void run();
  void stop();

  /// The next offset to read.
  Offset next() const { return this->Next; }

  /// \returns whether the end of the stream has been reached at least once.
  bool hasCaughtUp() const { return this->HasCaughtUp; }

  /// The time of the last successful read from the log.
  TimePoint lastContact() const { return this->LastContact; }

  /// Blocks the calling task until the end of the stream has been reached once.
  /// \returns false if \p Deadline passed first.
  bool waitForCatchUp(TimePoint Deadline);

private:
  void apply(const LogEntry &Entry);

  std::string Stream;
  Offset Next;
  LogHooks Log;
  Runtime Tasks;
  StreamFollowerHooks Hooks;
  StreamFollowerLimits Limits;
  Random Rng;
  Event Progress;
  bool IsStopping = false;
  bool HasCaughtUp = false;
  TimePoint LastContact{};
};

} // namespace bergamothook

#endif
