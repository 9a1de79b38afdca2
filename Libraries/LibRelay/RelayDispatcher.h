/// \file
/// The state shared by all calls of one host: the active configuration, the
/// targets and the budgets. Serves each call until it ends.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYDISPATCHER_H
#define BERGAMOTHOOK_LIBRELAY_RELAYDISPATCHER_H

#include "LibLoan/TokenBroker.h"
#include "LibObserve/Metrics.h"
#include "LibRateLimit/TargetLimiter.h"
#include "LibRelay/CallAdmission.h"
#include "LibRelay/FailureGate.h"
#include "LibRelay/OriginExchange.h"
#include "LibRelay/PeerChooser.h"
#include "LibRelay/QuarantineExchange.h"
#include "LibRelay/ReachMonitor.h"
#include "LibRelay/RelayHooks.h"
#include "LibRelay/RelayOutcome.h"
#include "LibRelay/ResendBudget.h"
#include "LibRelay/TargetPicker.h"

namespace bergamothook {

struct RelaySettings {
  /// Identifies the process within the fleet.
  std::string Self;
  std::string OwnDomain;
  PickerPolicy Picker;
  ResendPolicy Resends;
  QuarantinePolicy Quarantine;
  std::uint64_t Seed = 0;
  LimiterPolicy Limiter = {};
  VersionPolicy Versions = {};
  OriginPolicy Origins = {};
  ColdBounds Cold = {};
};

/// All member functions are called from tasks of one runtime. The token broker
/// and the metrics must outlive the dispatcher.
class RelayDispatcher {
public:
  RelayDispatcher(RelaySettings Settings, RelayHooks Hooks, TokenBroker &Tokens,
                  Metrics &Stats);

  /// Activates a version of the configuration. \returns false if it is not
  /// newer than the active one.
  bool setConfig(RelayConfigPtr Config);

  /// The active version; null before the first one.
  const RelayConfigPtr &config() const { return this->Config; }

  /// Serves one call. Blocks the calling task until the caller has its answer
  /// or has disconnected.
  RelayOutcome serve(const RelayCall &Call, const CallerHooks &Caller);

  /// Refuses a request that could not be decoded or must not be served.
  RelayOutcome refuse(const RelayCall &Call, const CallerHooks &Caller,
                      unsigned Status, RelayReason Reason,
                      std::optional<Duration> RetryAfter = std::nullopt);

  /// Applies a report on the cold period of a target. \p Source is where it
  /// comes from, for the log.
  void onColdReport(const ColdReport &Report, const char *Source);

  /// Applies the response to a health request that was sent at \p AskedAt.
  void onHealthResponse(const ListedTarget &Target, Duration ColdLeft,
                        TimePoint AskedAt);

  /// Ends the cold periods that are over.
  void endColdPeriods();

  /// \returns the limit of a cold target of a service.
  ColdLimit coldLimitOf(const std::string &Service) const;

  TargetDirectory &targets() { return this->Targets; }
  RequestQuarantine &quarantine() { return this->Quarantine; }
  QuarantineExchange &quarantineReports() { return this->QuarantineReports; }
  VersionRegister &versions() { return this->Versions; }
  const VersionRegister &versions() const { return this->Versions; }
  OriginExchange &origins() { return this->Origins; }
  TargetLimiter &limiter() { return this->Limiter; }
  ResendBudget &resends() { return this->Resends; }
  TargetPicker &picker() { return this->Picker; }
  /// Calls that need tokens, by team.
  FailureGate &tokenGate() { return this->TokenGate; }
  /// Calls that need a connection to a target, by service.
  FailureGate &targetGate() { return this->TargetGate; }
  /// Calls that wait for a target or are in progress, by service.
  CallAdmission &admission() { return this->Queues; }
  /// Whether this host reaches the targets of a service.
  ReachMonitor &reach() { return this->Reach; }
  const ReachMonitor &reach() const { return this->Reach; }
  /// The hosts that serve calls for this one.
  PeerChooser &peers() { return this->Peers; }
  /// From the first of these calls to the second, the event of a call is
  /// notified when this host is found to reach no target of a service.
  void addTargetWait(Event &Changed) { this->TargetWaits.insert(&Changed); }
  void removeTargetWait(Event &Changed) { this->TargetWaits.erase(&Changed); }
  TokenBroker &tokens() { return this->TokenSource; }
  Metrics &stats() { return this->Stats; }
  const RelayHooks &hooks() const { return this->Hooks; }
  Random &rng() { return this->Rng; }

private:
  void applyBudgets(const RelayConfig &Next);
  LimiterHooks limiterHooks();
  QuarantineExchangeHooks quarantineHooks();
  OriginHooks originHooks();
  ReachHooks reachHooks();
  std::size_t rankForVersions(const std::string &Service) const;
  bool hasProbeTurn(const Hash128 &Trait, std::uint64_t Turn) const;
  void record(const RelayCall &Call, const RelayOutcome &Outcome);

  RelaySettings Settings;
  RelayHooks Hooks;
  TokenBroker &TokenSource;
  Metrics &Stats;
  RelayConfigPtr Config;
  TargetDirectory Targets;
  TargetPicker Picker;
  TargetLimiter Limiter;
  ResendBudget Resends;
  RequestQuarantine Quarantine;
  QuarantineExchange QuarantineReports;
  VersionRegister Versions;
  OriginExchange Origins;
  FailureGate TokenGate;
  FailureGate TargetGate;
  CallAdmission Queues;
  ReachMonitor Reach;
  PeerChooser Peers;
  std::set<Event *> TargetWaits;
  Random Rng;
};

} // namespace bergamothook

#endif
