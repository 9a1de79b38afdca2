/// \file
/// Measures what this host uses, and logs when it becomes overloaded.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_HOSTMONITOR_H
#define BERGAMOTHOOK_LIBRELAYFRONT_HOSTMONITOR_H

#include "LibNet/NetRuntime.h"
#include "LibObserve/Metrics.h"
#include "LibOverload/OverloadControl.h"

namespace bergamothook {

/// Not thread-safe.
class HostMonitor {
public:
  /// Adds what only other components know: descriptors and message memory.
  using CompleteUsage = std::function<void(HostUsage &Usage)>;

  HostMonitor(NetRuntime &Loop, HostCapacity Capacity, OverloadPolicy Policy,
              CompleteUsage Complete, std::uint64_t Seed);

  /// Measures at intervals. Runs in its own task.
  void run(const std::function<bool()> &IsStopped);

  OverloadControl &control() { return this->Control; }
  const OverloadControl &control() const { return this->Control; }

  void exportMetrics(Metrics &Stats) const;

private:
  /// \returns the usage with only the bytes filled in.
  HostUsage linkUsage() const;
  void measure();

  NetRuntime &Loop;
  Runtime Tasks;
  CompleteUsage Complete;
  OverloadControl Control;
};

} // namespace bergamothook

#endif
