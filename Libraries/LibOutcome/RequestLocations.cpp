#include "LibOutcome/RequestLocations.h"

#include <algorithm>
#include <set>

namespace bergamothook {

namespace {

std::uint64_t rankOf(RequestId Request, HostId Host) {
  // A mix of both, so that each request has an order of hosts of its own.
  std::uint64_t Mixed = Request.Low ^ (Host.Value * 0x9e3779b97f4a7c15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace

RequestLocations::RequestLocations(RequestLocationsLimits Limits)
    : Limits(Limits) {}

void RequestLocations::record(RequestId Request, TargetId Target,
                              TimePoint Now) {
  this->forgetOld(Now);
  this->Notes[Request] = {Target, Now};
  this->Order.emplace_back(Now, Request);
}

std::optional<TargetId> RequestLocations::find(RequestId Request,
                                               TimePoint Now) const {
  auto Known = this->Notes.find(Request);
  if (Known == this->Notes.end() ||
      Known->second.At + this->Limits.Lifetime < Now)
    return std::nullopt;
  return Known->second.Target;
}

void RequestLocations::forgetOld(TimePoint Now) {
  while (!this->Order.empty()) {
    auto [At, Request] = this->Order.front();
    bool IsOld = At + this->Limits.Lifetime < Now;
    if (!IsOld && this->Order.size() < this->Limits.MaxNotes)
      return;
    this->Order.pop_front();
    auto Known = this->Notes.find(Request);
    if (Known != this->Notes.end() && Known->second.At == At)
      this->Notes.erase(Known);
  }
}

std::vector<HostId> chooseLocationReplicas(RequestId Request,
                                           std::vector<LocationReplica> Present,
                                           std::size_t Count) {
  std::sort(
      Present.begin(), Present.end(),
      [Request](const LocationReplica &Left, const LocationReplica &Right) {
        return rankOf(Request, Left.Host) < rankOf(Request, Right.Host);
      });
  std::vector<HostId> Chosen;
  std::vector<HostId> Spare;
  std::set<FailureDomainId> Used;
  for (const LocationReplica &Keeper : Present) {
    if (Used.insert(Keeper.Domain).second)
      Chosen.push_back(Keeper.Host);
    else
      Spare.push_back(Keeper.Host);
  }
  Chosen.insert(Chosen.end(), Spare.begin(), Spare.end());
  if (Chosen.size() > Count)
    Chosen.resize(Count);
  return Chosen;
}

} // namespace bergamothook
