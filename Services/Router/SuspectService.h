/// \file
/// Quarantine of requests that crash targets, shared by all hosts through a log
/// stream.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_SUSPECTSERVICE_H
#define BERGAMOTHOOK_SERVICES_ROUTER_SUSPECTSERVICE_H

#include "LibOutcome/PoisonRegistry.h"
#include "LogStreamClient.h"

namespace bergamothook {

/// The suspects known to one host, shared with the fleet through a log stream.
class SuspectService {
public:
  SuspectService(Incarnation Self, const LogHooks &Log, const Runtime &Tasks,
                 std::uint64_t Seed);

  void start() { this->Stream.start(); }
  void stop(TimePoint Deadline) { this->Stream.stop(Deadline); }

  /// Checks whether \p Content may run. Fails with OutcomeError::Quarantined if
  /// not.
  Result<void> admit(Hash128 Content, TimePoint Now) const;

  /// \returns the targets that \p Content must avoid.
  std::vector<TargetId> targetsToAvoid(Hash128 Content, TimePoint Now) const;

  void started(Hash128 Content, TargetId Target);
  void ended(Hash128 Content, TargetId Target);
  void crashed(Hash128 Content, TargetId Target, TimePoint Now);
  void cleared(Hash128 Content);

  /// Lifts the quarantine of \p Content on all hosts.
  Result<void> lift(Hash128 Content);

  std::vector<SuspectSummary> list(TimePoint Now) const;

private:
  void publish(StreamRecord Record);
  void apply(const StreamRecord &Record);

  Incarnation Self;
  Runtime Tasks;
  Random Rng;
  PoisonRegistry Registry;
  LogStreamClient Stream;
};

} // namespace bergamothook

#endif
