#include "LibOutcome/RequestLocations.h"

#include <algorithm>
#include <set>

namespace bergamothook {

namespace {

std::uint64_t rankOf(RequestId Request, HostId Host) {
  // Rendezvous hashing: each request ranks the hosts in an order of its own.
  std::uint64_t Hash = Request.Low ^ (Host.Value * 0x9e3779b97f4a7c15ULL);
  Hash = (Hash ^ (Hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Hash = (Hash ^ (Hash >> 27)) * 0x94d049bb133111ebULL;
  return Hash ^ (Hash >> 31);
}

} // namespace

RequestLocations::RequestLocations(RequestLocationsLimits Limits)
    : Limits(Limits) {}

void RequestLocations::record(RequestId Request, TargetId Target,
                              TimePoint Now) {
  this->evict(Now);
  this->Entries[Request] = {Target, Now};
  this->InsertionOrder.emplace_back(Now, Request);
}

std::optional<TargetId> RequestLocations::find(RequestId Request,
                                               TimePoint Now) const {
  auto Found = this->Entries.find(Request);
  if (Found == this->Entries.end() ||
      Found->second.RecordedAt + this->Limits.Lifetime < Now)
    return std::nullopt;
  return Found->second.Target;
}

void RequestLocations::evict(TimePoint Now) {
  while (!this->InsertionOrder.empty()) {
    auto [RecordedAt, Request] = this->InsertionOrder.front();
    bool IsOld = RecordedAt + this->Limits.Lifetime < Now;
    if (!IsOld && this->InsertionOrder.size() < this->Limits.MaxEntries)
      return;
    this->InsertionOrder.pop_front();
    auto Found = this->Entries.find(Request);
    if (Found != this->Entries.end() && Found->second.RecordedAt == RecordedAt)
      this->Entries.erase(Found);
  }
}

std::vector<HostId>
chooseLocationReplicas(RequestId Request,
                       std::vector<LocationReplica> Candidates,
                       std::size_t Count) {
  std::sort(
      Candidates.begin(), Candidates.end(),
      [Request](const LocationReplica &Left, const LocationReplica &Right) {
        return rankOf(Request, Left.Host) < rankOf(Request, Right.Host);
      });
  std::vector<HostId> Chosen;
  std::vector<HostId> SameDomain;
  std::set<FailureDomainId> UsedDomains;
  for (const LocationReplica &Replica : Candidates) {
    if (UsedDomains.insert(Replica.Domain).second)
      Chosen.push_back(Replica.Host);
    else
      SameDomain.push_back(Replica.Host);
  }
  Chosen.insert(Chosen.end(), SameDomain.begin(), SameDomain.end());
  if (Chosen.size() > Count)
    Chosen.resize(Count);
  return Chosen;
}

} // namespace bergamothook
