/// \file
/// One setting of the routing experiment: a site, its load and its faults.

#ifndef BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGCELL_H
#define BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGCELL_H

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamothook {

/// The fixed part of a site.
struct RoutingSite {
  std::string Name;
  std::uint32_t Targets = 20;
  std::uint32_t Hosts = 9;
  std::uint32_t Domains = 3;
  /// Whether every second target computes at half the speed.
  bool IsMixed = false;
};

/// One setting. Times are counted from the start of the run.
struct RoutingCell {
  RoutingSite Site;
  std::string Name;
  /// The offered work as a share of what round robin can finish, or of what the
  /// design's own choices can, which is more since they find held prefixes.
  double Load = 0.8;
  bool IsOfOwnCapacity = false;
  Duration LoadLag = std::chrono::milliseconds(100);
  Duration CacheEventDelay = std::chrono::milliseconds(200);
  double CacheEventLoss = 0;
  /// Makes the first target ten times slower from SlowFrom on.
  bool HasSlowTarget = false;
  /// Loses the first failure domain from a third to two thirds of the run.
  bool LosesDomain = false;
  /// Offers BurstLoad for a sixth of the run, and lets callers that gave up or
  /// were refused send again.
  bool HasBurst = false;
  double BurstLoad = 2.5;
  /// Callers never give up and all requests have one priority, as suits a
  /// measurement of the capacity.
  bool IsPatient = false;
  Duration Length = std::chrono::seconds(120);
};

/// The cells of the experiment.
std::vector<RoutingCell> routingCells();

} // namespace bergamothook

#endif
