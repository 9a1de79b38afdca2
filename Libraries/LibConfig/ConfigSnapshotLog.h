/// \file
/// Stores snapshots of the configuration state on the log, for a fleet that
/// starts after the log has truncated the first changes.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOTLOG_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOTLOG_H

#include "LibConfig/ConfigReplica.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// The stream of the log that holds the snapshots.
inline const std::string ConfigSnapshotStream = "config-snapshots";

/// Writes and reads snapshots. Each snapshot states the offset up to which it
/// covers the stream "config". The one with the greatest offset is used,
/// regardless of when it was written and of how many hosts wrote it.
class ConfigSnapshotLog {
public:
  ConfigSnapshotLog(LogHooks Log, Runtime Tasks, Incarnation Self)
      : Log(std::move(Log)), Tasks(std::move(Tasks)), Self(Self) {}

  /// Appends the state of \p Replica. A state with a missing chunk is ignored
  /// by load().
  Result<void> save(const ConfigReplica &Replica, Duration AppendTimeout);

  /// Restores the newest complete state on the log into \p Replica. \returns
  /// whether \p Replica was advanced.
  Result<bool> load(ConfigReplica &Replica);

private:
  LogHooks Log;
  Runtime Tasks;
  Incarnation Self;
};

} // namespace bergamothook

#endif
