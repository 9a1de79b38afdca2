/// \file
/// The configuration of a relay: how calls are routed, who may send them, and
/// the budget of each team. A version is immutable; a request keeps the version
/// with which it started.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYCONFIG_H
#define BERGAMOTHOOK_LIBRELAY_RELAYCONFIG_H

#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamothook {

/// Whether a call may be repeated after a target may have executed it.
enum class CallKind {
  Idempotent,
  NonIdempotent,
  /// An event stream. It is resumed only after the last event delivered, and
  /// only if its route allows it.
  Stream,
};

/// The share of the calls of a route that goes to one service.
struct ServiceShare {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Why a part of a configuration can't be taken as it stands.
enum class ConfigProblemKind {
  Missing,
  /// Its type, or the type of a part of it, is not the expected one.
  WrongType,
  OutOfRange,
  /// It contradicts another part, or stands twice.
  Ambiguous,
  /// It names a service that is not described.
  UnknownService,
};

const char *nameOf(ConfigProblemKind Kind);

struct ConfigProblem {
  ConfigProblemKind Kind{};
  /// Where it is, as a JSON pointer.
  std::string Place;
};

/// The problems of one version.
class ConfigProblems {
public:
  /// A version may hold any number of them.
  static constexpr std::size_t MaxKept = 16;

  void add(ConfigProblemKind Kind, std::string Place) {
    ++this->Count;
    if (this->First.size() < MaxKept)
      this->First.push_back({Kind, std::move(Place)});
  }

  std::size_t count() const { return this->Count; }
  /// The first MaxKept of them.
  const std::vector<ConfigProblem> &first() const { return this->First; }

private:
  std::vector<ConfigProblem> First;
  std::size_t Count = 0;
};

struct RelayRoute {
  std::string Name;
  std::string Host;
  /// Starts and ends with a slash.
  std::string PathPrefix;
  CallKind Kind = CallKind::NonIdempotent;
  /// The longest time that a caller waits for the end of its answer.
  Duration Timeout{};
  /// The latency objective for the answer, or for the first event of a stream.
  Duration Objective{};
  /// The longest pause between two events of an answer that still meets its
  /// objective.
  Duration MaxPause{};
  /// 0 is the most urgent.
  int Priority = 0;
  std::vector<ServiceShare> Services;
  /// The maximum number of targets that may execute one call.
  unsigned MaxTargets = 1;
  bool IsPublic = false;
  bool IsResumable = false;
  /// Unset if something in the route can't be read. The calls that match it are
  /// neither served nor denied.
  bool IsReadable = true;
  bool hasResumableStreams() const {
    return this->Kind == CallKind::Stream && this->IsResumable;
  }
  /// Set if calls carry the parts of a prompt.
  bool HasPrompt = false;
};

struct RoutedService {
  std::string Name;
  /// Connections that one target accepts from all hosts together.
  std::uint32_t MaxConnections = 0;
  /// Requests that one engine executes concurrently; 0 for a plain service.
  std::uint32_t EngineSlots = 0;
  /// The maximum number of tokens in one event of a stream.
  std::uint32_t TokensPerEvent = 1;
  /// Unset if it can't be read what the service's answers cost a team.
  bool IsReadable = true;
  /// Requests per second that a target accepts from all hosts together while it
  /// is cold; 0 if the service has no cold targets.
  double ColdPerSecond = 0;
  /// The path of the health request; empty if there is none.
  std::string HealthPath;
  /// How long a target is cold after its start.
  Duration ColdTime{};
};

struct RelayTeam {
  std::string Name;
  /// Overrides the route's priority.
  std::optional<int> Priority;
  /// The tokens that the team has paid for; unlimited if unset.
  std::optional<Tokens> Budget;
  /// Unset if the configuration states a budget that can't be read. The team's
  /// tokens can't be spent then.
  bool HasReadableBudget = true;
  /// Unset if something else in the team can't be read. Its calls are neither
  /// served nor denied.
  bool IsReadable = true;
};

/// Whether calls have to carry an API key.
enum class CallerAccess {
  /// The configuration names no teams at all: calls belong to none.
  Open,
  /// Calls need the key of a team, unless their route is public. The list of
  /// teams may be empty; no key is in force then.
  ByKey,
};

const char *nameOf(CallerAccess Access);

/// Size limits and timeouts for requests.
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
  CallerAccess Access = CallerAccess::ByKey;
  CallerLimits Limits;
  /// Unset if there may be routes, or keys, that can't be read. What is not
  /// found among the others is not denied.
  bool HasAllRoutes = true;
  bool HasAllKeys = true;
  ConfigProblems Problems;

  /// Of routes with the same host and prefix none is readable. \returns whether
  /// this is the only one.
  bool addRoute(RelayRoute Route);

  /// Of services with the same name none is readable. \returns whether this is
  /// the only one.
  bool addService(RoutedService Service);

  /// Empty keys are left out: a call without a key must not match them. Teams
  /// with the same name are one; if their budgets differ, none is readable. A
  /// key of several teams belongs to none of them. \returns whether the team
  /// and its keys contradict no other.
  bool addTeam(const RelayTeam &Team, const std::vector<std::string> &Keys);

  /// Finds the route of a call: the route of its host with the longest matching
  /// path prefix. \p Target may include a query.
  const RelayRoute *findRoute(std::string_view Host,
                              std::string_view Target) const;

  const RoutedService *findService(const std::string &Name) const;
  /// \returns the only team that has \p Key; null if there is none.
  const RelayTeam *findTeamByKey(std::string_view Key) const;

  /// Tells whether \p Key, which findTeamByKey() does not find, may be in force
  /// by a part that can't be read.
  bool mayHaveKey(std::string_view Key) const;

  /// \returns the rates at which cold targets accept requests, of the services
  /// that have such targets.
  std::map<std::string, double> coldRates() const;

  /// \returns the services that have streams which may be resumed.
  std::set<std::string> resumableServices() const;

  /// Tells whether the calls of a route need an API key.
  bool requiresKey(const RelayRoute &Route) const {
    return this->Access == CallerAccess::ByKey && !Route.IsPublic;
  }

  const std::map<std::string, RelayTeam> &teams() const { return this->Teams; }
  std::size_t routes() const { return this->RouteCount; }
  std::size_t keys() const { return this->TeamOfKey.size(); }

private:
  /// The routes of one host.
  struct HostRoutes {
    /// By prefix.
    std::map<std::string, RelayRoute, std::less<>> ByPrefix;
    std::size_t LongestPrefix = 0;
  };

  std::unordered_map<std::string, HostRoutes> Routes;
  std::map<std::string, RoutedService> Services;
  std::map<std::string, RelayTeam> Teams;
  /// The names of the teams; nothing for a key of several teams.
  std::unordered_map<std::string, std::optional<std::string>> TeamOfKey;
  std::size_t RouteCount = 0;
};

using RelayConfigPtr = std::shared_ptr<const RelayConfig>;

} // namespace bergamothook

#endif
