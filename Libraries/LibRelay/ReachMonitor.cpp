#include "LibRelay/ReachMonitor.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// A connection takes one round trip of a few milliseconds.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);
constexpr Duration ProbeInterval = std::chrono::milliseconds(250);

} // namespace

void ReachMonitor::onSent(const ListedTarget &Target) {
  this->Services.insert(Target.Service);
  this->Reach.onSent(Target.Service, Target.Id, this->Hooks.Tasks.Now());
}

void ReachMonitor::onEnded(const ListedTarget &Target) {
  this->Reach.onEnded(Target.Service, Target.Id);
}

void ReachMonitor::onHeard(const ListedTarget &Target) {
  this->Reach.onHeard(Target.Service, Target.Id, this->Hooks.Tasks.Now());
}

void ReachMonitor::onFailed(const ListedTarget &Target) {
  this->Reach.onFailed(Target.Service, Target.Id, this->Hooks.Tasks.Now());
  this->probeIfSuspect(Target.Service);
}

void ReachMonitor::update() {
  for (const std::string &Service : this->Services)
    this->probeIfSuspect(Service);
}

void ReachMonitor::probeIfSuspect(const std::string &Service) {
  if (!this->Hooks.Probe || this->Probing.contains(Service) ||
      !this->Reach.isSuspect(Service, this->Targets.usable(Service).size(),
                             this->Hooks.Tasks.Now()))
    return;
  this->Probing.insert(Service);
  this->Hooks.Tasks.Spawn([this, Service] {
    try {
      this->runProbes(Service);
    } catch (const std::bad_alloc &) {
      // The next update begins anew.
      logEvent(LogLevel::Error, "task_out_of_memory", {});
    }
    this->Probing.erase(Service);
  });
}

void ReachMonitor::runProbes(const std::string &Service) {
  for (;;) {
    TimePoint BeganAt = this->Hooks.Tasks.Now();
    auto [Probed, Reached] = this->probeOnce(Service);
    TimePoint Now = this->Hooks.Tasks.Now();
    Duration LostFor = this->Reach.lostFor(Service, Now);
    this->applyChange(Service,
                      this->Reach.onProbed(Service, Probed, Reached, Now),
                      Probed, LostFor);
    if (!this->Reach.isLost(Service))
      return;
    this->Hooks.OnLost(Service);
    this->Hooks.Tasks.sleepUntil(BeganAt + ProbeInterval);
  }
}

std::pair<std::size_t, std::size_t>
ReachMonitor::probeOnce(const std::string &Service) {
  /// Shared with the probes, which may end later.
  struct Round {
    std::size_t Ended = 0;
    std::size_t Reached = 0;
    Event Changed;
  };
  std::vector<std::string> Usable;
  for (const TargetState *Target : this->Targets.usable(Service))
    Usable.push_back(Target->Listed.Id);
  auto Current = std::make_shared<Round>();
  std::size_t Probed = 0;
  TimePoint Deadline = this->Hooks.Tasks.Now() + ProbeTimeout;
  for (const std::string &Id :
       this->Reach.chooseProbes(Service, std::move(Usable), this->Rng)) {
    ++Probed;
    this->Stats.count("relay_target_probes_total");
    this->Hooks.Tasks.Spawn(
        [this, Current, Deadline, Target = this->Targets.find(Id)->Listed] {
          bool IsReached = this->Hooks.Probe(Target, Deadline);
          ++Current->Ended;
          Current->Reached += IsReached ? 1 : 0;
          Current->Changed.notify();
        });
  }
  this->Hooks.Tasks.waitUntil(Current->Changed, Deadline + ProbeTimeout, [&] {
    return Current->Reached > 0 || Current->Ended == Probed;
  });
  return {Probed, Current->Reached};
}

void ReachMonitor::applyChange(const std::string &Service, ReachChange Change,
                               std::size_t Probed, Duration LostFor) {
  if (Change == ReachChange::None)
    return;
  TimePoint Now = this->Hooks.Tasks.Now();
  if (Change == ReachChange::Lost)
    logEvent(LogLevel::Warning, "targets_out_of_reach",
             {{"target_service", Service},
              {"failed", this->Reach.failedTargets(Service, Now)},
              {"silent", this->Reach.silentTargets(Service, Now)},
              {"probed", Probed},
              {"usable", this->Targets.usable(Service).size()}});
  else
    logEvent(LogLevel::Warning, "targets_in_reach",
             {{"target_service", Service},
              {"after_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(LostFor)
                   .count()}});
}

void ReachMonitor::exportMetrics(Metrics &Exported) const {
  Exported.set("relay_services_out_of_reach",
               static_cast<double>(this->Reach.lostServices()));
}

} // namespace bergamothook
