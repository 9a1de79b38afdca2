/// \file
/// Publishes changes of the configuration through the log.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGPUBLISHER_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGPUBLISHER_H

#include "LibConfig/ConfigLogReader.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// Appends changes and tells what became of them. An append whose answer was
/// lost is settled by reading, and tried again under the same identifier.
class ConfigPublisher {
public:
  ConfigPublisher(ConfigReplica &Replica, ConfigLogReader &Reader, LogHooks Log,
                  Runtime Tasks, Incarnation Self)
      : Replica(Replica), Reader(Reader), Log(std::move(Log)),
        Tasks(std::move(Tasks)), Self(Self) {}

  /// Publishes \p Change. Blocks the calling task.
  ///
  /// \returns the verdict of the log's order, accepted or refused. A change
  /// that is invalid already is refused before it is appended. ConfigError::
  /// OutcomeUnknown at the deadline, if an append may have taken effect; any
  /// other error means that nothing was appended.
  Result<ConfigVerdict> publish(const ConfigChange &Change, TimePoint Deadline);

private:
  /// Reads the log for a while. Nothing if the change was not found.
  std::optional<ConfigVerdict> readBack(RecordId Id, TimePoint Until);

  ConfigReplica &Replica;
  ConfigLogReader &Reader;
  LogHooks Log;
  Runtime Tasks;
  Incarnation Self;
};

} // namespace bergamothook

#endif
