/// \file
/// Puts the parts of a relay host together, and leads it through start, reload
/// and stop.

#ifndef BERGAMOTHOOK_SERVICES_RELAY_RELAYSERVICE_H
#define BERGAMOTHOOK_SERVICES_RELAY_RELAYSERVICE_H

#include "LibNet/DatagramSocket.h"
#include "LibRelayFront/RelayServer.h"
#include "LibRelayFront/StatusServer.h"
#include "LibRelayFront/TargetDialer.h"
#include "platform/CrashNews.h"
#include "platform/FleetNews.h"
#include "platform/PlatformSettings.h"
#include "platform/StoreFeed.h"

#include <boost/asio/signal_set.hpp>

namespace bergamothook {

/// One relay host on the users' platform.
class RelayService {
public:
  /// \p SettingsPath is read again on a reload; \p Settings are those in force.
  RelayService(NetRuntime &Loop, std::string SettingsPath,
               platform::PlatformSettings Settings, std::uint64_t Seed);

  /// Binds the ports and starts the tasks.
  Result<void> start();

private:
  RelayHooks relayHooks();
  RosterHost ownEntry(std::uint64_t Seed) const;
  TokenHooks tokenHooks();
  void joinFleet();
  RelaySettings relaySettings(std::uint64_t Seed) const;
  RelayServerSettings serverSettings() const;
  platform::FeedHooks configHooks();
  platform::FeedHooks targetHooks();
  void takeConfig(const platform::KeyedRecord &Record);
  void takeTarget(const platform::KeyedRecord &Record);
  bool isReady() const;
  StatusAnswer answerReady(const std::string &Path) const;
  StatusAnswer answerMetrics(const std::string &Path);
  void waitForSignal();
  void reload();
  void stop();
  void runHousekeeping();

  NetRuntime &Loop;
  Runtime Tasks;
  std::string SettingsPath;
  platform::PlatformSettings Settings;
  std::string Self;
  Metrics Measured;
  platform::StoreClient Store;
  TokenBroker TokenSource;
  DatagramSocket PeerPort;
  TargetDialer Dialer;
  RelayDesk Desk;
  RelayServer Server;
  StatusServer ReadyServer;
  StatusServer MetricsServer;
  platform::StoreFeed ConfigFeed;
  platform::StoreFeed TargetFeed;
  platform::CrashNews Crashes;
  platform::FleetNews Fleet;
  boost::asio::signal_set Signals;
  bool HasTargets = false;
  bool IsStopping = false;
  bool IsStopped = false;
};

} // namespace bergamothook

#endif
