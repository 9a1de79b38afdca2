/// \file
/// Bounds the calls that one service gets beyond the first of each request,
/// over a sliding window, so that the share of all hosts together stays bounded
/// without a word between them.

#ifndef BERGAMOTHOOK_LIBRELAY_RESENDBUDGET_H
#define BERGAMOTHOOK_LIBRELAY_RESENDBUDGET_H

#include "LibBase/Time.h"

#include <deque>
#include <map>
#include <string>

namespace bergamothook {

struct ResendPolicy {
  /// The window over which the fleet's bound holds.
  Duration Window = std::chrono::seconds(10);
  /// Resends for each request of this host. Below the fleet's bound, since
  /// windows of hosts and of observers do not begin at the same moment.
  double Ratio = 0.15;
  /// Resends beyond that which the whole fleet is granted; each host has an
  /// equal part.
  double FleetSlack = 2;
};

/// The counts of one host, by service. Not thread-safe.
class ResendBudget {
public:
  explicit ResendBudget(ResendPolicy Policy) : Policy(Policy) {}

  /// Counts a request for \p Service.
  void onRequest(const std::string &Service, TimePoint Now);

  /// States how many hosts share the fleet's part.
  void setHosts(std::size_t Count);

  /// Takes one resend. \returns false when there is none.
  [[nodiscard]] bool tryResend(const std::string &Service, TimePoint Now);

  std::uint64_t refused() const { return this->Refused; }

private:
  struct Counts {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Resends;
  };

  void forgetOld(std::deque<TimePoint> &Times, TimePoint Now) const;

  ResendPolicy Policy;
  std::map<std::string, Counts> Services;
  std::size_t Hosts = 1;
  std::uint64_t Refused = 0;
};

} // namespace bergamothook

#endif
