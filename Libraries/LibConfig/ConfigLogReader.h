/// \file
/// Brings a replica up to the end of the stream "config" on the log.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGLOGREADER_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGLOGREADER_H

#include "LibConfig/ConfigReplica.h"

namespace bergamothook {

/// Reads the log into one replica.
class ConfigLogReader {
public:
  /// Brings the replica past the range that the log no longer holds, and tells
  /// whether it did.
  using Recover = std::function<bool()>;

  ConfigLogReader(ConfigReplica &Replica, LogHooks Log, Recover Mend)
      : Replica(Replica), Log(std::move(Log)), Mend(std::move(Mend)) {}

  /// Reads until the end that the stream has now. \returns the number of
  /// entries that were new. Below the retained range, and with nothing to
  /// recover from, LogError::BelowRetention: the replica stays as it is, since
  /// folding from behind a hole would give a wrong state.
  Result<std::size_t> readToEnd();

private:
  ConfigReplica &Replica;
  LogHooks Log;
  Recover Mend;
};

} // namespace bergamothook

#endif
