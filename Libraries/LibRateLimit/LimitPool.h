/// \file
/// The shares of the limit of one target that are leased to this host, and the
/// permits that they yield.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_LIMITPOOL_H
#define BERGAMOTHOOK_LIBRATELIMIT_LIMITPOOL_H

#include "LibBase/Ids.h"
#include "LibRateLimit/PermitBucket.h"

#include <map>
#include <vector>

namespace bergamothook {

struct LimitPoolPolicy {
  /// How long a lease can be used, from the time at which it was requested.
  /// Shorter than the holder's lease, so that a permit granted at its end has
  /// been used before the share is leased again.
  Duration LeaseUse = std::chrono::milliseconds(2900);
  /// How often leases are renewed.
  Duration RenewalInterval = std::chrono::milliseconds(1000);
  /// The interval of the first renewals. The first message to a host is lost
  /// while a session is set up.
  Duration FirstRenewalInterval = std::chrono::milliseconds(200);
  unsigned FirstRenewals = 3;
  /// How long a pool without demand keeps its leases.
  Duration IdleTime = std::chrono::seconds(10);
  /// Requests for permits that the hosts together may send per second.
  double MaxRequestsPerSecond = 100;
  /// How long a permit can be taken after it was earned.
  Duration PermitLifetime = PermitBucket::PermitLifetime;
};

/// What a host that was refused a permit has to know.
struct PermitRefusal {
  /// When a caller can retry with a chance of success.
  Duration RetryAfter{};
  /// How long the host requests no further permit of this target.
  Duration NextRequestAfter{};
  /// The interval at which callers of one host may return.
  Duration ReturnInterval{};
};

class LimitPool {
public:
  explicit LimitPool(LimitPoolPolicy Policy)
      : Policy(Policy), Bucket(Policy.PermitLifetime) {}

  /// Sets the limit of the target.
  void setLimit(double PerSecond, TimePoint Now);

  /// Starts a round of lease requests. \p Round is larger than any before in
  /// this process.
  void beginRound(std::uint64_t Round, TimePoint Now);

  /// Handles the lease of a share, one of \p Holders, by \p Holder in answer to
  /// a request of \p Round.
  void onLease(HostId Holder, std::uint64_t Round, std::size_t Holders,
               TimePoint Now);

  /// Takes a permit for a request of \p Requester.
  [[nodiscard]] bool take(HostId Requester, TimePoint Now);

  /// Describes a refusal after take() failed.
  PermitRefusal refusal(TimePoint Now);

  /// \returns the fraction of the limit that this host may grant.
  double share(TimePoint Now);

  /// \returns the hosts whose leases are valid.
  std::vector<HostId> holders(TimePoint Now);

  bool isRoundDue(TimePoint Now) const { return Now >= this->NextRound; }
  bool isIdle(TimePoint Now) const {
    return Now - this->LastRequest >= this->Policy.IdleTime;
  }

private:
  struct Lease {
    TimePoint UsableUntil;
    /// The share is one of this many.
    std::size_t Holders = 1;
  };

  void advance(TimePoint Now);
  double currentShare() const;
  void updateRate(TimePoint Now);

  LimitPoolPolicy Policy;
  double Limit = 0;
  PermitBucket Bucket;
  /// When the requests of recent rounds were sent, by round.
  std::map<std::uint64_t, TimePoint> Rounds;
  unsigned RoundsBegun = 0;
  TimePoint NextRound{};
  std::map<HostId, Lease> Leases;
  /// When each host last requested a permit.
  std::map<HostId, TimePoint> Requesters;
  TimePoint LastRequest{};
  /// When the next caller of any host that is refused may return.
  TimePoint NextReturn{};
};

} // namespace bergamothook

#endif
