/// \file
/// Appends records to one stream of the log in batches. A record is confirmed
/// only once it has been read back, so that a lost response needs no special
/// handling.

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
  /// How long the first record of a batch waits for more records.
  Duration BatchInterval = std::chrono::milliseconds(20);
  std::size_t MaxBatchBytes = 256 * 1024;
  std::size_t MaxQueuedRecords = 200'000;
  Duration AppendTimeout = std::chrono::seconds(2);
  /// How long to wait for the read-back of an appended record before it is sent
  /// again.
  Duration ReadBackTimeout = std::chrono::seconds(3);
  Duration InitialBackoff = std::chrono::milliseconds(50);
  Duration MaxBackoff = std::chrono::seconds(5);
};

/// Append counters of one stream.
struct StreamAppenderHealth {
  std::uint64_t Appends = 0;
  std::uint64_t Failures = 0;
  std::size_t Queued = 0;
  /// Appends that have failed since the last success.
  std::uint32_t ConsecutiveFailures = 0;
};

/// The queue of one stream and the task that drains it. All calls must come
/// from tasks of one runtime.
class StreamAppender {
public:
  StreamAppender(std::string Stream, LogHooks Log, Runtime Tasks,
                 StreamAppenderLimits Limits, std::uint64_t Seed);

  /// Queues \p Record, which is sent repeatedly until it has been read back.
  /// \returns StreamError::QueueFull if MaxQueuedRecords are queued already.
  Result<void> submit(StreamRecord Record);

  /// Queues \p Record and waits until it has been read back. \returns
  /// StreamError::NotConfirmed at the deadline; the record stays queued and may
  /// still reach the log.
  Result<RecordPosition> submitAndWait(StreamRecord Record, TimePoint Deadline);

  /// Reports that the record \p Id was read at \p Position. The follower of the
  /// same stream calls this for each record.
  void confirm(RecordId Id, RecordPosition Position);

  /// Sends batches until stop(). Runs as a task of its own.
  void run();

  /// Makes run() return once the queue is empty, or at \p Deadline.
  void stop(TimePoint Deadline);

  StreamAppenderHealth health() const;

private:
  struct Pending {
    StreamRecord Record;
    bool HasWaiter = false;
  };

  /// A record that was sent but has not been read back yet.
  struct Sent {
    RecordId Id;
    /// When to send it again.
    TimePoint Due;
  };

  bool isFinished() const;
  bool hasDueRecord(TimePoint Now);
  TimePoint nextDue();
  void dropConfirmed();
  void requeueOverdue(TimePoint Now);
  void requeue(const std::vector<StreamRecord> &Batch);
  std::vector<StreamRecord> takeBatch(TimePoint Now);
  void sendBatch();
  Duration nextBackoff();

  std::string Stream;
  LogHooks Log;
  Runtime Tasks;
  StreamAppenderLimits Limits;
  Random Rng;
  /// Records to send immediately, in order, and records awaiting read-back,
  /// ordered by due time. Confirmed records are removed lazily from both.
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
