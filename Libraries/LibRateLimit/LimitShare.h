/// \file
/// This host's share of the limit of one target, and the host it is leased to.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_LIMITSHARE_H
#define BERGAMOTHOOK_LIBRATELIMIT_LIMITSHARE_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <optional>

namespace bergamothook {

/// A share is leased to at most one host at a time, which is what keeps the sum
/// of all hosts within the limit, whatever they know of each other.
class LimitShare {
public:
  explicit LimitShare(Duration LeaseTime) : LeaseTime(LeaseTime) {}

  /// Leases the share to \p Lessee until LeaseTime from now, unless it is
  /// leased to another host. \p Round is the number of the request. \returns
  /// whether it is leased to \p Lessee.
  [[nodiscard]] bool lease(HostId Lessee, std::uint64_t Round, TimePoint Now);

  /// Ends the lease of \p Lessee, which no longer uses what it got up to
  /// \p Round. A message that was overtaken by a later request has no effect.
  void release(HostId Lessee, std::uint64_t Round, TimePoint Now);

private:
  Duration LeaseTime;
  std::optional<HostId> LeasedTo;
  std::uint64_t LeasedRound = 0;
  TimePoint LeasedUntil{};
};

} // namespace bergamothook

#endif
