/// \file
/// The configuration that a relay serves by: which calls go where, who may send
/// them, and what each team has paid for. One version is never changed; a
/// request keeps the version that it began with.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYCONFIG_H
#define BERGAMOTHOOK_LIBRELAY_RELAYCONFIG_H

#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamothook {

/// What may be done with a call after a target may have run it.
enum class CallKind {
  Idempotent,
  NonIdempotent,
  /// A stream of events. It is repeated only from the last event delivered, and
  /// only where its route says so.
  Stream,
};

/// A part of the calls of a route that goes to one service.
struct ServiceShare {
  std::string Service;
  std::uint32_t Weight = 1;
};

struct RelayRoute {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  CallKind Kind = CallKind::NonIdempotent;
  /// The longest time that a caller is kept waiting for the end of its answer.
  Duration Timeout{};
  /// The latency objective: to the answer, or to the first event of a stream.
  Duration Objective{};
  /// The longest pause between two events of an answer that is still on time.
  Duration MaxPause{};
  /// 0 is the most urgent.
  int Priority = 0;
  std::vector<ServiceShare> Services;
  /// The most targets that may run one call.
  unsigned MaxTargets = 1;
  bool IsPublic = false;
  bool IsResumable = false;
  /// Set where calls carry the parts of a prompt.
  bool HasPrompt = false;
};

struct RoutedService {
  std::string Name;
  /// Connections that one target accepts from all hosts together.
  std::uint32_t MaxConnections = 0;
  /// Requests that one engine runs at once; 0 for a plain service.
  std::uint32_t EngineSlots = 0;
  /// Tokens that one event of a stream may hold.
  std::uint32_t TokensPerEvent = 1;
};

struct RelayTeam {
  std::string Name;
  /// Takes precedence over the route's.
  std::optional<int> Priority;
  /// The tokens that the team has paid for; nothing means no limit.
  std::optional<Tokens> Budget;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t MaxHeadBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 4 * 1024 * 1024;
  Duration HeadTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// One version of the configuration.
class RelayConfig {
public:
  std::uint64_t Version = 0;
  CallerLimits Limits;

  void addRoute(RelayRoute Route);
  void addService(RoutedService Service);
  void addTeam(const RelayTeam &Team, const std::vector<std::string> &Keys);

  /// Finds the route of a call: among those of its host the one with the
  /// longest prefix of the path. \p Target may carry a query.
  const RelayRoute *findRoute(std::string_view Host,
                              std::string_view Target) const;

  const RoutedService *findService(const std::string &Name) const;
  const RelayTeam *findTeamByKey(std::string_view Key) const;

  /// Tells whether calls need a key.
  bool hasTeams() const { return !this->Teams.empty(); }

  const std::map<std::string, RelayTeam> &teams() const { return this->Teams; }
  std::size_t routes() const { return this->RouteCount; }

private:
  /// By host; the longest prefixes first.
  std::unordered_map<std::string, std::vector<RelayRoute>> Routes;
  std::map<std::string, RoutedService> Services;
  std::map<std::string, RelayTeam> Teams;
  std::unordered_map<std::string, std::string> TeamOfKey;
  std::size_t RouteCount = 0;
};

using RelayConfigPtr = std::shared_ptr<const RelayConfig>;

} // namespace bergamothook

#endif
