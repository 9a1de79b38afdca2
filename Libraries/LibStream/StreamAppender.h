/// \file
/// Carries records to one stream of the log. Records share appends, and a
/// record counts as landed only when it was read back, so that a lost answer
/// needs no special case.

#ifndef BERGAMOTHOOK_LIBSTREAM_STREAMAPPENDER_H
#define BERGAMOTHOOK_LIBSTREAM_STREAMAPPENDER_H

#include "LibBase/Random.h"
#include "LibPlatform/LogHooks.h"
#include "LibStream/StreamRecord.h"
#include "LibTask/Runtime.h"

#include <deque>
#include <unordered_map>

namespace bergamothook {

struct StreamAppenderLimits {
  /// How long the first record of a batch waits for others.
  Duration BatchInterval = std::chrono::milliseconds(20);
  std::size_t MaxBatchBytes = 256 * 1024;
  std::size_t MaxQueuedRecords = 200'000;
  Duration AppendTimeout = std::chrono::seconds(2);
  /// How long an appended record may stay unread before it is sent again.
  Duration ReadBackTimeout = std::chrono::seconds(3);
  Duration FirstBackOff = std::chrono::milliseconds(50);
  Duration LongestBackOff = std::chrono::seconds(5);
};

/// How the appends of one stream have gone lately.
struct StreamAppenderHealth {
  std::uint64_t Appends = 0;
  std::uint64_t Failures = 0;
  std::size_t Queued = 0;
  /// How many attempts in a row have failed; 0 while the log is well.
  std::uint32_t ConsecutiveFailures = 0;
};

/// The queue of one stream and the task that empties it. All calls come from
/// tasks of one runtime.
class StreamAppender {
public:
  StreamAppender(std::string Stream, LogHooks Log, Runtime Tasks,
                 StreamAppenderLimits Limits, std::uint64_t Seed);

  /// Queues \p Record. It is sent until it was read back.
  /// StreamError::QueueFull when too much waits.
  Result<void> submit(StreamRecord Record);

  /// Queues \p Record and waits until it was read back. At the deadline
  /// StreamError::NotConfirmed; the record then still goes on to the log.
  Result<RecordPosition> submitAndWait(StreamRecord Record, TimePoint Deadline);

  /// Tells that the record \p Id was read at \p Position. The follower of the
  /// same stream calls it for each record.
  void confirm(RecordId Id, RecordPosition Position);

  /// Sends batches until stop(). Runs as a task of its own.
  void run();

  /// Ends run() after the queue is empty, or at \p Deadline.
  void stop(TimePoint Deadline);

  StreamAppenderHealth health() const;

private:
  struct Pending {
    StreamRecord Record;
    bool IsWatched = false;
  };

  /// A record that was sent and not read back yet.
  struct Sent {
    RecordId Id;
    /// When to send it again.
    TimePoint Due;
  };

  bool isFinished() const;
  bool hasDueRecord(TimePoint Now);
  TimePoint nextDue();
  void dropConfirmed();
  void takeOverdue(TimePoint Now);
  void putBack(const std::vector<StreamRecord> &Batch);
  std::vector<StreamRecord> takeBatch(TimePoint Now);
  void sendBatch();
  Duration backOff();

  std::string Stream;
  LogHooks Log;
  Runtime Tasks;
  StreamAppenderLimits Limits;
  Random Dice;
  /// Records that are to be sent at once, in order, and those that wait for
  /// their read-back, by the time they are due. Confirmed ones leave lazily.
  std::deque<RecordId> Unsent;
  std::deque<Sent> InFlight;
  std::unordered_map<RecordId, Pending> Records;
  std::unordered_map<RecordId, RecordPosition> Confirmed;
  Event Submitted;
  Event ReadBack;
  StreamAppenderHealth Health;
  bool IsStopping = false;
  TimePoint StopDeadline{};
};

} // namespace bergamothook

#endif
