/// \file
/// Publishes configuration changes through the log.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGPUBLISHER_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGPUBLISHER_H

#include "LibConfig/ConfigLogReader.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// Appends changes and reports their outcome. If the response to an append is
/// lost, the outcome is determined by reading the log, and the append is
/// retried with the same identifier.
class ConfigPublisher {
public:
  ConfigPublisher(ConfigReplica &Replica, ConfigLogReader &Reader, LogHooks Log,
                  Runtime Tasks, Incarnation Self)
      : Replica(Replica), Reader(Reader), Log(std::move(Log)),
        Tasks(std::move(Tasks)), Self(Self) {}

  /// Publishes \p Change. Blocks the calling task.
  ///
  /// \returns the verdict, which follows from the order of the log. A change
  /// that is invalid against the current state is rejected before it is
  /// appended. Returns ConfigError::OutcomeUnknown at the deadline if an append
  /// may have taken effect; any other error means that nothing was appended.
  Result<ConfigVerdict> publish(const ConfigChange &Change, TimePoint Deadline);

private:
  /// Reads the log until the verdict of the change \p Id is known. \returns
  /// nothing at \p WaitDeadline.
  std::optional<ConfigVerdict> waitForVerdict(RecordId Id,
                                              TimePoint WaitDeadline);

  ConfigReplica &Replica;
  ConfigLogReader &Reader;
  LogHooks Log;
  Runtime Tasks;
  Incarnation Self;
};

} // namespace bergamothook

#endif
