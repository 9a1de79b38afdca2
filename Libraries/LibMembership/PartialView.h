/// \file
/// Chooses the few hosts that a host talks to.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_PARTIALVIEW_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_PARTIALVIEW_H

#include "LibMembership/HostRumor.h"

namespace bergamothook {

struct PartialViewLimits {
  /// Neighbours on a ring of all hosts, by which every host is watched.
  std::size_t RingPeers = 2;
  /// Hosts of every other failure domain.
  std::size_t PeersPerOtherDomain = 1;
  /// Further hosts, drawn anew from time to time.
  std::size_t RandomPeers = 4;
};

/// Chooses the view of \p Self among \p Present. The ring neighbours keep the
/// graph connected, one host of each other failure domain lets news cross
/// domains in one step, and the random ones, which depend on \p Round, keep the
/// paths short. The degree is at most RingPeers + PeersPerOtherDomain x (other
/// domains) + RandomPeers. The same arguments give the same view.
std::vector<HostId> chooseView(HostId Self, FailureDomainId SelfDomain,
                               const std::vector<HostRumor> &Present,
                               std::uint64_t Round, PartialViewLimits Limits);

} // namespace bergamothook

#endif
