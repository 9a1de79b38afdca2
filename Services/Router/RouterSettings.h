/// \file
/// Settings of the router process on an entry host.

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

/// Listener settings of one HTTP server.
struct ListenSettings {
  Endpoint LocalEndpoint;
  std::size_t MaxBodyBytes = 0;
  std::size_t MaxRequests = 0;
  std::size_t MaxUnsentBytes = 0;
  /// TLS certificate and key files; empty to disable TLS.
  std::string CertificateFile;
  std::string KeyFile;
};

struct PeerSettings {
  Endpoint LocalEndpoint;
  /// Hosts to contact while the platform's list cannot be read, by name.
  std::vector<std::pair<std::string, Endpoint>> Seeds;
  std::string KeyFile;
};

struct LedgerSettings {
  std::uint32_t Shards = 1;
  /// From 0 to 1. 0: large slices, which last longer while the log is
  /// unavailable. 1: small slices, so that few tokens are stranded if the host
  /// dies.
  double Caution = 0.5;
};

struct RequestLimits {
  /// How long a stopping process waits for requests in progress.
  Duration DrainTimeout{};
  /// How long the process reports not ready before it drains, so that the load
  /// balancer notices.
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
  LogLevel MinLogLevel = LogLevel::Info;

  HostId host() const { return idOfName<HostId>(this->HostName); }
  FailureDomainId domain() const {
    return idOfName<FailureDomainId>(this->FailureDomain);
  }
};

/// Reads and validates the settings file of a router.
SettingsResult<RouterSettings> readRouterSettings(const std::string &File);

} // namespace bergamothook

#endif
