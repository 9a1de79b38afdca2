/// \file
/// Selects the peers of a host.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_PARTIALVIEW_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_PARTIALVIEW_H

#include "LibMembership/HostRumor.h"

namespace bergamothook {

struct PartialViewLimits {
  /// Successors on a ring of all hosts, so that every host is probed by others.
  std::size_t RingPeers = 2;
  /// Peers in each other failure domain.
  std::size_t PeersPerOtherDomain = 1;
  /// Random peers, selected again in each round.
  std::size_t RandomPeers = 4;
};

/// Selects the view of \p Self among \p Present. The ring successors keep the
/// graph connected, the peers in each other failure domain let rumors cross
/// domains in one hop, and the random peers, which depend on \p Round, keep the
/// paths short. The degree is at most RingPeers + PeersPerOtherDomain x (other
/// domains) + RandomPeers. The result is deterministic.
std::vector<HostId> chooseView(HostId Self, FailureDomainId SelfDomain,
                               const std::vector<HostRumor> &Present,
                               std::uint64_t Round, PartialViewLimits Limits);

} // namespace bergamothook

#endif
