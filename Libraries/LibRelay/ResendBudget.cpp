#include "LibRelay/ResendBudget.h"

#include <algorithm>

namespace bergamothook {

void ResendBudget::forgetOld(std::deque<TimePoint> &Times,
                             TimePoint Now) const {
  while (!Times.empty() && Now - Times.front() > this->Policy.Window)
    Times.pop_front();
}

void ResendBudget::onRequest(const std::string &Service, TimePoint Now) {
  Counts &Of = this->Services[Service];
  this->forgetOld(Of.Requests, Now);
  Of.Requests.push_back(Now);
}

void ResendBudget::setHosts(std::size_t Count) {
  this->Hosts = std::max<std::size_t>(1, Count);
}

bool ResendBudget::tryResend(const std::string &Service, TimePoint Now) {
  Counts &Of = this->Services[Service];
  this->forgetOld(Of.Requests, Now);
  this->forgetOld(Of.Resends, Now);
  double Allowed =
      this->Policy.Ratio * static_cast<double>(Of.Requests.size()) +
      this->Policy.FleetSlack / static_cast<double>(this->Hosts);
  if (static_cast<double>(Of.Resends.size()) + 1 > Allowed) {
    ++this->Refused;
    return false;
  }
  Of.Resends.push_back(Now);
  return true;
}

} // namespace bergamothook
