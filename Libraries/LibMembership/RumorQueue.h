/// \file
/// The rumors that are piggybacked on probes.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_RUMORQUEUE_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_RUMORQUEUE_H

#include "LibMembership/HostRumor.h"

#include <map>

namespace bergamothook {

/// Schedules each rumor for a number of transmissions that grows with the
/// logarithm of the fleet size. Rumors with the most remaining transmissions
/// are sent first.
class RumorQueue {
public:
  /// Adds \p Rumor and replaces an earlier rumor about the same host.
  void add(const HostRumor &Rumor, std::size_t FleetSize);

  /// Selects up to \p MaxCount rumors for one message, and removes those
  /// without remaining transmissions.
  std::vector<HostRumor> take(std::size_t MaxCount);

private:
  struct QueuedRumor {
    HostRumor Rumor;
    std::uint32_t RemainingSends = 0;
  };

  std::map<HostId, QueuedRumor> Rumors;
};

} // namespace bergamothook

#endif
