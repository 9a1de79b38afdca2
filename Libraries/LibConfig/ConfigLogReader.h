/// \file
/// Brings a replica up to date with the stream "config" of the log.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGLOGREADER_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGLOGREADER_H

#include "LibConfig/ConfigReplica.h"

namespace bergamothook {

/// Reads the stream from the log into one replica.
class ConfigLogReader {
public:
  /// Advances the replica past the range that the log no longer retains.
  /// \returns whether the replica was advanced.
  using Recover = std::function<bool()>;

  ConfigLogReader(ConfigReplica &Replica, LogHooks Log, Recover RecoverHook)
      : Replica(Replica), Log(std::move(Log)),
        RecoverHook(std::move(RecoverHook)) {}

  /// Reads up to the current end of the stream. \returns the number of entries
  /// applied, or LogError::BelowRetention if the next entry is no longer
  /// retained and recovery failed. The replica is then left unchanged, since
  /// folding across a gap would give a wrong state.
  Result<std::size_t> readToEnd();

private:
  ConfigReplica &Replica;
  LogHooks Log;
  Recover RecoverHook;
};

} // namespace bergamothook

#endif
