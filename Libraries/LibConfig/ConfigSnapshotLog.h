/// \file
/// Keeps whole states of the configuration on the log, for a fleet that starts
/// after the log has dropped the first changes.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOTLOG_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGSNAPSHOTLOG_H

#include "LibConfig/ConfigReplica.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// The stream of the log that holds the states.
inline const std::string ConfigSnapshotStream = "config-snapshots";

/// Writes and reads states. A state names the offset of the stream "config" up
/// to which it covers it, and the one that covers most counts, whenever it was
/// written and however many hosts wrote the same one.
class ConfigSnapshotLog {
public:
  ConfigSnapshotLog(LogHooks Log, Runtime Tasks, Incarnation Self)
      : Log(std::move(Log)), Tasks(std::move(Tasks)), Self(Self) {}

  /// Appends the state of \p Replica. A state of which a part did not land is
  /// never read.
  Result<void> save(const ConfigReplica &Replica, Duration AppendTimeout);

  /// Moves \p Replica on to the newest whole state that the log holds. \returns
  /// whether it moved.
  Result<bool> load(ConfigReplica &Replica);

private:
  LogHooks Log;
  Runtime Tasks;
  Incarnation Self;
};

} // namespace bergamothook

#endif
