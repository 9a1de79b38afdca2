/// \file
/// Follows the configuration on the log and gives the revision in force.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_CONFIGWATCH_H
#define BERGAMOTHOOK_SERVICES_ROUTER_CONFIGWATCH_H

#include "LibConfig/ConfigFold.h"
#include "LibStream/StreamFollower.h"

namespace bergamothook {

/// The configuration of one host. All calls come from tasks of one runtime;
/// the snapshots that it hands out may go to any thread.
class ConfigWatch {
public:
  ConfigWatch(LogHooks Log, Runtime Tasks, std::uint64_t Seed);

  /// Follows the stream until stop(). Runs as a task of its own.
  void run() { this->Follower.run(); }
  void stop() { this->Follower.stop(); }

  /// Tells whether all that the log held was read once.
  bool isReady() const { return this->Follower.hasCaughtUp(); }

  ConfigSnapshot snapshot() const { return this->Fold.snapshot(); }
  const ConfigFold &fold() const { return this->Fold; }

  /// Called after each accepted change.
  std::function<void(const ConfigSnapshot &)> OnChange;

private:
  StreamFollowerHooks followerHooks();

  ConfigFold Fold;
  StreamFollower Follower;
};

} // namespace bergamothook

#endif
