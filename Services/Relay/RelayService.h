/// \file
/// Assembles the components of a relay host and handles start, reload and stop.

#ifndef BERGAMOTHOOK_SERVICES_RELAY_RELAYSERVICE_H
#define BERGAMOTHOOK_SERVICES_RELAY_RELAYSERVICE_H

#include "LibNet/DatagramSocket.h"
#include "LibRelay/ConfigView.h"
#include "LibRelay/EvacuationMonitor.h"
#include "LibRelayFront/ForwardedCallReader.h"
#include "LibRelayFront/HostMonitor.h"
#include "LibRelayFront/PeerDialer.h"
#include "LibRelayFront/RelayServer.h"
#include "LibRelayFront/StatusServer.h"
#include "LibRelayFront/TargetDialer.h"
#include "platform/FleetRegistry.h"
#include "platform/PlatformSettings.h"
#include "platform/RequestQuarantineSync.h"
#include "platform/StoreFeed.h"
#include "platform/StreamOriginStore.h"

#include <boost/asio/signal_set.hpp>

namespace bergamothook {

/// One relay host on the users' platform.
class RelayService {
public:
  /// \p SettingsPath is read again on a reload; \p Settings are the current
  /// ones.
  RelayService(NetRuntime &Loop, std::string SettingsPath,
               platform::PlatformSettings Settings, std::uint64_t Seed);

  /// Binds the ports and spawns the tasks. Fails if a port can't be bound.
  Result<void> start();

private:
  RelayHooks relayHooks();
  RosterHost ownRosterEntry(std::uint64_t Seed) const;
  TokenHooks tokenHooks();
  void joinFleet();
  RelaySettings relaySettings(std::uint64_t Seed) const;
  RelayServerSettings serverSettings();
  RelayServerSettings peerServerSettings() const;
  std::size_t maxForwardedCalls() const;
  ForwardedCallHooks forwardedCallHooks();
  /// \returns why this host takes no calls of other hosts now.
  RelayReason refuseForwarded() const;
  ServerLoadHooks loadHooks();
  HostCapacity capacity() const;
  platform::FeedHooks configFeedHooks();
  platform::FeedHooks targetFeedHooks();
  void applyOperatorSnapshot(const std::vector<platform::KeyedRecord> &Records,
                             std::uint64_t End);
  void applyOperatorRecord(const platform::KeyedRecord &Record);
  void applyConfigRecord(const platform::KeyedRecord &Record);
  /// The store holds no configuration at \p Offset.
  void onNoConfig(std::uint64_t Offset);
  ConfigInForce configInForce() const;
  /// Logs when the view of the configuration becomes old or current.
  void reportConfigView();
  /// \returns a hook that exports the reads of a feed.
  std::function<void(const platform::FeedRead &)>
  readMeter(std::string_view Topic);
  void noteVersion(const ListedTarget &Target);
  void logUnreadableTarget(const platform::KeyedRecord &Record);
  void applyTargetRecord(const platform::KeyedRecord &Record);
  bool isReady() const;
  StatusResponse answerReady(const std::string &Path) const;
  StatusResponse answerMetrics(const std::string &Path);
  void measureConfig(const RelayConfig &Config);
  /// Spawns a task that goes on after it ran out of memory.
  void spawnLoop(std::function<void()> Run);
  void waitForSignal();
  void reload();
  void stop();
  void runHousekeeping();

  NetRuntime &Loop;
  Runtime Tasks;
  std::string SettingsPath;
  platform::PlatformSettings Settings;
  std::string ProcessName;
  Metrics Measured;
  MemoryBudgetHandle Memory;
  platform::StoreClient Store;
  TokenBroker TokenSource;
  DatagramSocket PeerSocket;
  TargetDialer Dialer;
  ForwardSeal Seal;
  PeerDialer Peers;
  RelayDispatcher Dispatcher;
  ConfigView View;
  EvacuationMonitor Evacuations;
  HostMonitor Load;
  RelayServer Server;
  ForwardedCallReader ForwardedCalls;
  RelayServer PeerServer;
  StatusServer ReadyServer;
  StatusServer MetricsServer;
  platform::StoreFeed ConfigFeed;
  platform::StoreFeed TargetFeed;
  platform::RequestQuarantineSync QuarantineSync;
  platform::StreamOriginStore OriginStore;
  platform::FleetRegistry Registry;
  boost::asio::signal_set Signals;
  /// The hashes of entries that were logged as unreadable, by key.
  static constexpr std::size_t MaxUnreadableTargets = 256;
  RecentMap<std::string, std::uint64_t> UnreadableTargets{MaxUnreadableTargets};
  bool HasTargets = false;
  bool IsStopping = false;
  bool IsStopped = false;
};

} // namespace bergamothook

#endif
