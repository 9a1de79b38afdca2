/// \file
/// The settings of one entry host's process.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_ROUTERSETTINGS_H
#define BERGAMOTHOOK_SERVICES_ROUTER_ROUTERSETTINGS_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibObserve/StructuredLog.h"
#include "LibSettings/SettingsFile.h"

#include <vector>

namespace bergamothook {

struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;
};

/// Where a server of this process listens.
struct ListenSettings {
  Endpoint At;
  std::size_t MaxBodyBytes = 0;
  std::size_t MaxRequests = 0;
  std::size_t MaxUnsentBytes = 0;
  /// The files of a certificate and its key; empty without TLS.
  std::string CertificateFile;
  std::string KeyFile;
};

struct PeerSettings {
  Endpoint At;
  /// Hosts to join by while the platform's list can't be read, by name.
  std::vector<std::pair<std::string, Endpoint>> Seeds;
  std::string KeyFile;
};

struct LedgerSettings {
  std::uint32_t Shards = 1;
  /// 0: large slices, which last while the log is out. 1: few tokens are held
  /// and few are stranded by a death.
  double Caution = 0.5;
};

struct RequestLimits {
  /// How long a stopping process waits for requests in progress.
  Duration DrainTimeout{};
  /// How long the balancer is given to see that the process stops.
  Duration NotReadyBeforeDrain{};
  Duration FirstTokenTimeout{};
  Duration BetweenTokensTimeout{};
};

struct RouterSettings {
  std::string HostName;
  std::string FailureDomain;
  std::string Region;
  ListenSettings Callers;
  ListenSettings Operators;
  PeerSettings Peers;
  Endpoint Log;
  Endpoint Membership;
  LedgerSettings Ledger;
  RequestLimits Limits;
  LogLevel LowestLevel = LogLevel::Info;

  HostId host() const { return idOfName<HostId>(this->HostName); }
  FailureDomainId domain() const {
    return idOfName<FailureDomainId>(this->FailureDomain);
  }
};

/// Reads and checks the settings file of a router.
SettingsResult<RouterSettings> readRouterSettings(const std::string &File);

} // namespace bergamothook

#endif
