#include "LibRelay/EvacuationMonitor.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

void EvacuationMonitor::onSnapshot(
    const std::vector<EvacuationRecord> &Evacuated, std::uint64_t End,
    TimePoint Now) {
  for (const EvacuationRecord &Change :
       this->Targets.onEvacuationSnapshot(Evacuated, End, Now))
    this->logChange(Change, "snapshot", Now);
}

void EvacuationMonitor::onRecord(const EvacuationRecord &Record,
                                 TimePoint Now) {
  if (this->Targets.onEvacuationRecord(Record, Now))
    this->logChange(Record, "record", Now);
}

void EvacuationMonitor::logChange(const EvacuationRecord &Change,
                                  const char *Source, TimePoint Now) {
  if (Change.IsEvacuated)
    this->Draining[Change.Domain] = {Change.Offset, Source, Now};
  else
    this->Draining.erase(Change.Domain);
  logEvent(LogLevel::Warning,
           Change.IsEvacuated ? "evacuation_known" : "evacuation_ended",
           {{"failure_domain", Change.Domain},
            {"offset", Change.Offset},
            {"source", Source},
            {"calls_in_progress", this->Targets.runningIn(Change.Domain)}});
}

void EvacuationMonitor::checkProgress(TimePoint Now) {
  std::erase_if(this->Draining, [&](const auto &Each) {
    const auto &[Domain, Evacuation] = Each;
    if (this->Targets.runningIn(Domain) > 0)
      return false;
    auto After = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Evacuation.Since);
    logEvent(LogLevel::Info, "evacuation_complete",
             {{"failure_domain", Domain},
              {"offset", Evacuation.Offset},
              {"source", Evacuation.Source},
              {"after_ms", After.count()}});
    return true;
  });
}

void EvacuationMonitor::exportMetrics(Metrics &Stats) const {
  Stats.set("relay_evacuated_domains",
            static_cast<double>(this->Targets.evacuatedDomains()));
  Stats.set("relay_evacuated_targets",
            static_cast<double>(this->Targets.evacuatedTargets()));
}

} // namespace bergamothook
