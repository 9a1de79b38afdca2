/// \file
/// Keeps the configuration of one host in step with the log and the other
/// hosts, and gives the revision in force.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_CONFIGWATCH_H
#define BERGAMOTHOOK_SERVICES_ROUTER_CONFIGWATCH_H

#include "LibConfig/ConfigSnapshotLog.h"
#include "LibConfig/ConfigSpread.h"
#include "PeerDesk.h"

namespace bergamothook {

struct ConfigWatchSettings {
  /// How often the fleet as a whole writes its state to the log.
  Duration FleetSaveInterval = std::chrono::minutes(10);
  Duration SaveTimeout = std::chrono::seconds(5);
};

/// The configuration of one host. All calls come from tasks of one runtime;
/// the snapshots that it hands out may go to any thread.
class ConfigWatch {
public:
  ConfigWatch(Incarnation Self, const LogHooks &Log, const Runtime &Tasks,
              PeerDesk &Peers, ConfigWatchSettings Settings,
              std::uint64_t Seed);

  void start();
  void stop();

  /// Tells whether the host is as far as all that it could reach.
  bool isReady() const { return this->Spread.isReady(); }

  ConfigSnapshot snapshot() const { return this->Replica.snapshot(); }
  const ConfigFold &fold() const { return this->Replica.fold(); }

  /// Called after each accepted change.
  std::function<void(const ConfigSnapshot &)> OnChange;

private:
  void takeVerdict(RecordId Change, const ConfigVerdict &Verdict);
  bool recover();
  ConfigSpreadHooks spreadHooks();
  void registerHandlers();
  void saveStates();

  Runtime Tasks;
  PeerDesk &Peers;
  ConfigWatchSettings Settings;
  Random Dice;
  ConfigReplica Replica;
  ConfigSnapshotLog Saved;
  ConfigLogReader Reader;
  ConfigSpread Spread;
  Offset SavedUpTo;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
