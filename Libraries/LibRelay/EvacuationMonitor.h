/// \file
/// Applies the operator's evacuations to the directory of targets and logs
/// their progress.

#ifndef BERGAMOTHOOK_LIBRELAY_EVACUATIONMONITOR_H
#define BERGAMOTHOOK_LIBRELAY_EVACUATIONMONITOR_H

#include "LibObserve/Metrics.h"
#include "LibRelay/TargetDirectory.h"

#include <map>
#include <string>
#include <vector>

namespace bergamothook {

/// Not thread-safe. The directory must outlive the monitor.
class EvacuationMonitor {
public:
  explicit EvacuationMonitor(TargetDirectory &Targets) : Targets(Targets) {}

  /// Applies all evacuations of a snapshot of the operator's records before
  /// \p End.
  void onSnapshot(const std::vector<EvacuationRecord> &Evacuated,
                  std::uint64_t End, TimePoint Now);

  /// Applies a later record.
  void onRecord(const EvacuationRecord &Record, TimePoint Now);

  /// Logs the evacuations whose last call of this host has ended. Called
  /// several times per second.
  void checkProgress(TimePoint Now);

  void exportMetrics(Metrics &Stats) const;

private:
  void logChange(const EvacuationRecord &Change, const char *Source,
                 TimePoint Now);

  /// An evacuation with calls of this host in progress.
  struct DrainingDomain {
    std::uint64_t Offset = 0;
    const char *Source = "";
    TimePoint Since{};
  };

  TargetDirectory &Targets;
  std::map<std::string, DrainingDomain> Draining;
};

} // namespace bergamothook

#endif
