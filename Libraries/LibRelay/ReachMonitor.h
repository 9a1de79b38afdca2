/// \file
/// Probes targets while it is in doubt whether this host reaches any of a
/// service, and reports when it ceases and begins to.

#ifndef BERGAMOTHOOK_LIBRELAY_REACHMONITOR_H
#define BERGAMOTHOOK_LIBRELAY_REACHMONITOR_H

#include "LibObserve/Metrics.h"
#include "LibRelay/TargetDirectory.h"
#include "LibRelay/TargetReach.h"
#include "LibTask/Runtime.h"

#include <functional>
#include <memory>
#include <set>

namespace bergamothook {

struct ReachHooks {
  Runtime Tasks;
  /// Connects to a target and closes the connection. Blocks the calling task,
  /// at most until the deadline. Empty if targets can't be probed.
  std::function<bool(const ListedTarget &Target, TimePoint Deadline)> Probe;
  /// Called when no target of a service can be reached, and each time that this
  /// is found again.
  std::function<void(const std::string &Service)> OnLost =
      [](const std::string &) {};
};

/// All member functions are called from tasks of one runtime. The directory and
/// the metrics must outlive the monitor.
class ReachMonitor {
public:
  ReachMonitor(ReachHooks Hooks, TargetDirectory &Targets, Metrics &Stats,
               std::uint64_t Seed)
      : Hooks(std::move(Hooks)), Targets(Targets), Stats(Stats), Rng(Seed) {}

  void onSent(const ListedTarget &Target);
  void onEnded(const ListedTarget &Target);
  void onHeard(const ListedTarget &Target);
  void onFailed(const ListedTarget &Target);

  /// Looks for targets that are silent while calls wait. Called several times
  /// per second.
  void update();

  /// \returns whether no target of a service can be reached.
  bool isLost(const std::string &Service) const {
    return this->Reach.isLost(Service);
  }
  /// \returns whether that is being found out.
  bool isInDoubt(const std::string &Service) const {
    return this->Probing.contains(Service);
  }
  /// \returns whether a target has not been heard for long while calls wait.
  bool isSilent(const ListedTarget &Target) const {
    return this->Reach.isSilent(Target.Service, Target.Id,
                                this->Hooks.Tasks.Now());
  }
  /// See TargetReach.
  bool mayUseOwnLinks(const std::string &Service, double Draw) const {
    return this->Reach.mayUseOwnLinks(Service, Draw, this->Hooks.Tasks.Now());
  }

  void exportMetrics(Metrics &Exported) const;

private:
  void probeIfSuspect(const std::string &Service);
  /// Probes until a target of a service is reached.
  void runProbes(const std::string &Service);
  /// Probes targets side by side. \returns how many were probed and, of those,
  /// reached; after the first that is, no other is waited for.
  std::pair<std::size_t, std::size_t> probeOnce(const std::string &Service);
  void applyChange(const std::string &Service, ReachChange Change,
                   std::size_t Probed, Duration LostFor);

  ReachHooks Hooks;
  TargetDirectory &Targets;
  Metrics &Stats;
  Random Rng;
  TargetReach Reach;
  /// The services with calls since the start.
  std::set<std::string> Services;
  /// The services of which targets are being probed.
  std::set<std::string> Probing;
};

} // namespace bergamothook

#endif
