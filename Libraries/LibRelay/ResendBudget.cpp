#include "LibRelay/ResendBudget.h"

#include <algorithm>

namespace bergamothook {

void ResendBudget::dropExpired(std::deque<TimePoint> &Times,
                               TimePoint Now) const {
  while (!Times.empty() && Now - Times.front() > this->Policy.Window)
    Times.pop_front();
}

void ResendBudget::onRequest(const std::string &Service, TimePoint Now) {
  Counts &ServiceCounts = this->Services[Service];
  this->dropExpired(ServiceCounts.Requests, Now);
  ServiceCounts.Requests.push_back(Now);
}

void ResendBudget::setHosts(std::size_t Count) {
  this->Hosts = std::max<std::size_t>(1, Count);
}

bool ResendBudget::hasResend(const std::string &Service, TimePoint Now) {
  Counts &ServiceCounts = this->Services[Service];
  this->dropExpired(ServiceCounts.Requests, Now);
  this->dropExpired(ServiceCounts.Resends, Now);
  double Allowed =
      this->Policy.Ratio * static_cast<double>(ServiceCounts.Requests.size());
  if (this->Hosts > 0)
    Allowed += this->Policy.FleetSlack / static_cast<double>(this->Hosts);
  return static_cast<double>(ServiceCounts.Resends.size()) + 1 <= Allowed;
}

bool ResendBudget::tryResend(const std::string &Service, TimePoint Now) {
  if (!this->hasResend(Service, Now)) {
    ++this->Refused;
    return false;
  }
  this->Services[Service].Resends.push_back(Now);
  return true;
}

} // namespace bergamothook
