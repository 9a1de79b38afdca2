/// \file
/// Client of one log stream: a writer and a reader, each with its own task, and
/// optionally snapshots.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_LOGSTREAMCLIENT_H
#define BERGAMOTHOOK_SERVICES_ROUTER_LOGSTREAMCLIENT_H

#include "LibStream/SnapshotScheduler.h"
#include "LibStream/StreamAppender.h"
#include "LibStream/StreamFollower.h"

namespace bergamothook {

/// Encode and restore the state derived from a stream. A stream whose hooks are
/// not set has no snapshots.
struct StreamSnapshotHooks {
  std::function<std::string()> Encode;
  std::function<Result<void>(std::string_view Content)> Restore;
};

/// Each record that is read is confirmed to the writer before it is handed on.
class LogStreamClient {
public:
  LogStreamClient(const std::string &Stream, const LogHooks &Log,
                  const Runtime &Tasks, StreamFollowerHooks Hooks,
                  StreamSnapshotHooks Snapshots, std::uint64_t Seed);

  /// Starts the tasks.
  void start();

  /// Stops the reader, the writer and the snapshots. Queued records are still
  /// sent until \p Deadline.
  void stop(TimePoint Deadline);

  StreamAppender Appender;
  StreamFollower Follower;

private:
  StreamFollowerHooks addConfirmation(StreamFollowerHooks Hooks);
  Result<Offset> restoreSnapshot();

  Runtime Tasks;
  StreamSnapshotHooks Snapshots;
  SnapshotStore Store;
  SnapshotScheduler Scheduler;
};

/// \returns hooks that pass records to \p Apply and log each entry skipped
/// because its payload is not a valid batch.
StreamFollowerHooks makeFollowerHooks(
    const std::string &Stream,
    std::function<void(const StreamRecord &, RecordPosition)> Apply);

} // namespace bergamothook

#endif
