/// \file
/// One stream of the log as a host uses it: its writer and its reader, each
/// with a task of its own.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_STREAMLINK_H
#define BERGAMOTHOOK_SERVICES_ROUTER_STREAMLINK_H

#include "LibStream/SnapshotScheduler.h"
#include "LibStream/StreamAppender.h"
#include "LibStream/StreamFollower.h"

namespace bergamothook {

/// How the fold of a stream is written and loaded. Without hooks the stream has
/// no snapshots.
struct StreamSnapshotHooks {
  std::function<std::string()> Encode;
  std::function<Result<void>(std::string_view Content)> Restore;
};

/// Each record that is read is confirmed to the writer before it is handed on.
class StreamLink {
public:
  StreamLink(const std::string &Stream, const LogHooks &Log,
             const Runtime &Tasks, StreamFollowerHooks Hooks,
             StreamSnapshotHooks Snapshots, std::uint64_t Seed);

  /// Starts both tasks.
  void start();

  /// Ends both; what is queued is sent until \p Deadline.
  void stop(TimePoint Deadline);

  StreamAppender Appender;
  StreamFollower Follower;

private:
  StreamFollowerHooks confirming(StreamFollowerHooks Hooks);
  Result<Offset> recover();

  Runtime Tasks;
  StreamSnapshotHooks Snapshots;
  SnapshotStore Store;
  SnapshotScheduler Keeper;
};

/// Logs payloads that are no batch, and reports a hole as it is.
StreamFollowerHooks followerHooksFor(
    const std::string &Stream,
    std::function<void(const StreamRecord &, RecordPosition)> Apply);

} // namespace bergamothook

#endif
