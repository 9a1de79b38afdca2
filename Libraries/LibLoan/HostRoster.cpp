#include "LibLoan/HostRoster.h"

#include <algorithm>

namespace bergamothook {

HostRoster::HostRoster(RosterHost Self, RosterPolicy Policy)
    : Self(std::move(Self)), Policy(Policy) {
  this->put(this->Self);
}

void HostRoster::put(const RosterHost &Host) {
  // What the own process knows of itself is newer than any record.
  bool IsOwn = Host.id() == this->Self.id();
  Entry &Place = this->Hosts[Host.id()];
  const RosterHost &Newest = IsOwn ? this->Self : Host;
  if (Place.Host == Newest)
    return;
  Place = {Newest, false, false, {}, {}};
  this->Known.clear();
}

void HostRoster::replaceAll(const std::vector<RosterHost> &Listed) {
  std::set<HostId> Present{this->Self.id()};
  for (const RosterHost &Host : Listed) {
    Present.insert(Host.id());
    this->put(Host);
  }
  std::erase_if(this->Hosts, [&](const auto &Each) {
    return !Present.contains(Each.first);
  });
  this->Known.clear();
}

void HostRoster::remove(const std::string &Name) {
  auto Host = idOfName<HostId>(Name);
  if (Host == this->Self.id())
    return;
  this->Hosts.erase(Host);
  this->Known.clear();
}

void HostRoster::silence(Entry &Of, Duration Pause, TimePoint Now) {
  Of.IsSilent = true;
  Of.Pause = Pause;
  Of.ProbeAt = Now + Pause;
  this->Known.clear();
}

bool HostRoster::onSilent(HostId Host, TimePoint Now) {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end() || Found->second.IsSilent ||
      Host == this->Self.id())
    return false;
  this->silence(Found->second, this->Policy.FirstPause, Now);
  return true;
}

bool HostRoster::onHeard(HostId Host) {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end() || !Found->second.IsSilent ||
      Found->second.IsLeaving)
    return false;
  Found->second.IsSilent = false;
  this->Known.clear();
  return true;
}

void HostRoster::onLeaving(HostId Host, TimePoint Now) {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end() || Host == this->Self.id())
    return;
  this->silence(Found->second, this->Policy.LongestPause, Now);
  Found->second.IsLeaving = true;
}

void HostRoster::beginStop() {
  this->IsStopping = true;
  this->Known.clear();
}

const std::vector<HostId> &HostRoster::homes(unsigned Partition) {
  auto [Place, IsNew] = this->Known.try_emplace(Partition);
  if (IsNew)
    Place->second = this->homesWithout(Partition, {});
  return Place->second;
}

std::vector<HostId>
HostRoster::homesWithout(unsigned Partition,
                         const std::set<HostId> &Without) const {
  struct Candidate {
    std::uint64_t Rank;
    HostId Host;
  };
  std::map<std::string, Candidate> Best;
  for (const auto &[Id, Each] : this->Hosts) {
    if (Each.IsSilent || Without.contains(Id) ||
        (this->IsStopping && Id == this->Self.id()))
      continue;
    Candidate Next{hash64(Each.Host.Name, Partition), Id};
    auto [Place, IsFirst] = Best.try_emplace(Each.Host.FailureDomain, Next);
    if (!IsFirst && Next.Rank < Place->second.Rank)
      Place->second = Next;
  }
  std::vector<Candidate> Order;
  std::vector<HostId> Homes;
  for (const auto &[Domain, First] : Best) {
    if (Domain == this->Self.FailureDomain)
      Homes.push_back(First.Host);
    else
      Order.push_back(First);
  }
  // Hosts of different domains turn to different homes after their own.
  for (Candidate &Each : Order)
    Each.Rank = hash64(this->Self.FailureDomain, Each.Rank);
  std::sort(Order.begin(), Order.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Rank < Right.Rank;
            });
  for (const Candidate &Each : Order)
    Homes.push_back(Each.Host);
  return Homes;
}

bool HostRoster::isHome(unsigned Partition) {
  const std::vector<HostId> &Homes = this->homes(Partition);
  return !Homes.empty() && Homes.front() == this->Self.id();
}

std::vector<HostId> HostRoster::takeProbes(TimePoint Now) {
  std::vector<HostId> Due;
  for (auto &[Id, Each] : this->Hosts) {
    if (!Each.IsSilent || Each.ProbeAt > Now)
      continue;
    // One that left in vain long ago is asked like a silent one.
    Each.IsLeaving = false;
    Each.Pause = std::min(2 * Each.Pause, this->Policy.LongestPause);
    Each.ProbeAt = Now + Each.Pause;
    Due.push_back(Id);
  }
  return Due;
}

const RosterHost *HostRoster::find(HostId Host) const {
  auto Found = this->Hosts.find(Host);
  return Found == this->Hosts.end() ? nullptr : &Found->second.Host;
}

std::size_t HostRoster::silentHosts() const {
  return static_cast<std::size_t>(
      std::count_if(this->Hosts.begin(), this->Hosts.end(),
                    [](const auto &Each) { return Each.second.IsSilent; }));
}

std::size_t HostRoster::failureDomains() const {
  std::set<std::string> Domains;
  for (const auto &[Id, Each] : this->Hosts)
    Domains.insert(Each.Host.FailureDomain);
  return Domains.size();
}

} // namespace bergamothook
