/// \file
/// Limits how often one service is sent a call again after the first send of a
/// request. The limit applies over a sliding window and bounds the resends of
/// all hosts together without communication between them.

#ifndef BERGAMOTHOOK_LIBRELAY_RESENDBUDGET_H
#define BERGAMOTHOOK_LIBRELAY_RESENDBUDGET_H

#include "LibBase/Time.h"

#include <deque>
#include <map>
#include <string>

namespace bergamothook {

struct ResendPolicy {
  /// The window to which the fleet's limit applies.
  Duration Window = std::chrono::seconds(10);
  /// Resends for each request of this host. Below the fleet's limit, since the
  /// windows of hosts and of observers do not start at the same time.
  double Ratio = 0.15;
  /// Additional resends granted to the fleet as a whole; each host has an equal
  /// share.
  double FleetSlack = 2;
};

/// The counts of one host, by service. Not thread-safe.
class ResendBudget {
public:
  explicit ResendBudget(ResendPolicy Policy) : Policy(Policy) {}

  /// Counts a request for \p Service.
  void onRequest(const std::string &Service, TimePoint Now);

  /// Sets the number of hosts that share FleetSlack. Before, this host takes
  /// none of it.
  void setHosts(std::size_t Count);

  /// \returns whether one resend is left.
  bool hasResend(const std::string &Service, TimePoint Now);

  /// Consumes one resend. \returns false if none is left.
  [[nodiscard]] bool tryResend(const std::string &Service, TimePoint Now);

  std::uint64_t refused() const { return this->Refused; }

private:
  struct Counts {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Resends;
  };

  void dropExpired(std::deque<TimePoint> &Times, TimePoint Now) const;

  ResendPolicy Policy;
  std::map<std::string, Counts> Services;
  /// 0 while the hosts are not known.
  std::size_t Hosts = 0;
  std::uint64_t Refused = 0;
};

} // namespace bergamothook

#endif
