/// \file
/// Reads one stream of the log in order and hands on each record once.

#ifndef BERGAMOTHOOK_LIBSTREAM_STREAMFOLLOWER_H
#define BERGAMOTHOOK_LIBSTREAM_STREAMFOLLOWER_H

#include "LibBase/Random.h"
#include "LibPlatform/LogHooks.h"
#include "LibStream/StreamRecord.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// What a follower does with what it reads.
struct StreamFollowerHooks {
  /// Takes the next record. Second copies of a record arrive too: the fold
  /// recognises them by what they name.
  std::function<void(const StreamRecord &, RecordPosition)> Apply;
  /// Takes a payload that is no batch. The follower goes on behind it, and all
  /// hosts skip it alike.
  std::function<void(const LogEntry &, std::error_code)> Skip;
  /// Called when the offset wanted is no longer retained. Loads a snapshot and
  /// gives the offset that it covers up to; an error makes the follower try
  /// again later, since folding from a hole would give a wrong state.
  std::function<Result<Offset>()> Recover;
};

struct StreamFollowerLimits {
  std::size_t MaxEntriesPerRead = 256;
  Duration LongPoll = std::chrono::seconds(2);
  Duration RetryInterval = std::chrono::milliseconds(200);
};

/// The position of one reader in one stream, and the task that moves it.
class StreamFollower {
public:
  StreamFollower(std::string Stream, Offset From, LogHooks Log, Runtime Tasks,
                 StreamFollowerHooks Hooks, StreamFollowerLimits Limits,
                 std::uint64_t Seed);

  /// Reads once and hands on what came. \returns the number of entries read.
  Result<std::size_t> step(Duration Wait);

  /// Reads until stop(). Runs as a task of its own.
  void run();
  void stop();

  /// The offset that is read next.
  Offset next() const { return this->Next; }

  /// Tells whether the end of the stream was reached at least once.
  bool hasCaughtUp() const { return this->HasCaughtUp; }

  /// When the log last answered.
  TimePoint lastContact() const { return this->LastContact; }

  /// Blocks the calling task until the end of the stream was reached once.
  bool waitForCatchUp(TimePoint Deadline);

private:
  void apply(const LogEntry &Entry);

  std::string Stream;
  Offset Next;
  LogHooks Log;
  Runtime Tasks;
  StreamFollowerHooks Hooks;
  StreamFollowerLimits Limits;
  Random Dice;
  Event Progress;
  bool IsStopping = false;
  bool HasCaughtUp = false;
  TimePoint LastContact{};
};

} // namespace bergamothook

#endif
