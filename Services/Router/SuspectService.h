/// \file
/// Keeps requests that crash targets away from further targets, together with
/// the other hosts.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_SUSPECTSERVICE_H
#define BERGAMOTHOOK_SERVICES_ROUTER_SUSPECTSERVICE_H

#include "LibOutcome/PoisonRegistry.h"
#include "LogStreamClient.h"

namespace bergamothook {

/// The suspects of one host, told to the fleet on a stream of the log.
class SuspectService {
public:
  SuspectService(Incarnation Self, const LogHooks &Log, const Runtime &Tasks,
                 std::uint64_t Seed);

  void start() { this->Link.start(); }
  void stop(TimePoint Deadline) { this->Link.stop(Deadline); }

  /// Tells whether \p Content may run; OutcomeError::Quarantined if not.
  Result<void> admit(Hash128 Content, TimePoint Now) const;

  /// The targets that \p Content must keep away from.
  std::vector<TargetId> targetsToAvoid(Hash128 Content, TimePoint Now) const;

  void started(Hash128 Content, TargetId Target);
  void ended(Hash128 Content, TargetId Target);
  void crashed(Hash128 Content, TargetId Target, TimePoint Now);
  void cleared(Hash128 Content);

  /// Lifts a quarantine on the whole fleet.
  Result<void> lift(Hash128 Content);

  std::vector<SuspectSummary> list(TimePoint Now) const;

private:
  void publish(StreamRecord Record);
  void apply(const StreamRecord &Record);

  Incarnation Self;
  Runtime Tasks;
  Random Dice;
  PoisonRegistry Registry;
  LogStreamClient Link;
};

} // namespace bergamothook

#endif
