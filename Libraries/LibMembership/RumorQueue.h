/// \file
/// The rumors that travel on board of probes.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_RUMORQUEUE_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_RUMORQUEUE_H

#include "LibMembership/HostRumor.h"

#include <map>

namespace bergamothook {

/// Sends each rumor a number of times that grows with the logarithm of the
/// fleet's size, the newest first.
class RumorQueue {
public:
  /// Adds \p News in place of an earlier rumor about the same host.
  void add(const HostRumor &News, std::size_t FleetSize);

  /// Takes up to \p Most rumors for one message.
  std::vector<HostRumor> take(std::size_t Most);

private:
  struct Waiting {
    HostRumor Rumor;
    std::uint32_t SendsLeft = 0;
  };

  std::map<HostId, Waiting> Rumors;
};

} // namespace bergamothook

#endif
