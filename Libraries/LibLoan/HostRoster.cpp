#include "LibLoan/HostRoster.h"

#include <algorithm>

namespace bergamothook {

HostRoster::HostRoster(RosterHost Self, RosterPolicy Policy)
    : Self(std::move(Self)), Policy(Policy) {
  this->put(this->Self);
}

void HostRoster::put(const RosterHost &Host) {
  // This process's own entry is newer than any record of it.
  bool IsOwn = Host.id() == this->Self.id();
  Entry &Position = this->Hosts[Host.id()];
  const RosterHost &Newest = IsOwn ? this->Self : Host;
  if (Position.Host == Newest)
    return;
  Position = {Newest, false, false, {}, {}};
  this->CachedHomes.clear();
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
  this->CachedHomes.clear();
}

void HostRoster::remove(const std::string &Name) {
  auto Host = idOfName<HostId>(Name);
  if (Host == this->Self.id())
    return;
  this->Hosts.erase(Host);
  this->CachedHomes.clear();
}

void HostRoster::startProbing(Entry &HostEntry, Duration ProbeInterval,
                              TimePoint Now) {
  HostEntry.IsSilent = true;
  HostEntry.ProbeInterval = ProbeInterval;
  HostEntry.ProbeAt = Now + ProbeInterval;
  this->CachedHomes.clear();
}

bool HostRoster::markSilent(HostId Host, TimePoint Now) {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end() || Found->second.IsSilent ||
      Host == this->Self.id())
    return false;
  this->startProbing(Found->second, this->Policy.InitialProbeInterval, Now);
  return true;
}

bool HostRoster::markResponsive(HostId Host) {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end() || !Found->second.IsSilent ||
      Found->second.IsLeaving)
    return false;
  Found->second.IsSilent = false;
  this->CachedHomes.clear();
  return true;
}

void HostRoster::markLeaving(HostId Host, TimePoint Now) {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end() || Host == this->Self.id())
    return;
  this->startProbing(Found->second, this->Policy.MaxProbeInterval, Now);
  Found->second.IsLeaving = true;
}

void HostRoster::beginStop() {
  this->IsStopping = true;
  this->CachedHomes.clear();
}

const std::vector<HostId> &HostRoster::homes(unsigned Partition) {
  auto [Position, IsNew] = this->CachedHomes.try_emplace(Partition);
  if (IsNew)
    Position->second = this->homesWithout(Partition, {});
  return Position->second;
}

std::vector<HostId>
HostRoster::homesWithout(unsigned Partition,
                         const std::set<HostId> &Without) const {
  struct Candidate {
    std::uint64_t Rank;
    HostId Host;
  };
  std::map<std::string, Candidate> BestByDomain;
  for (const auto &[Id, Each] : this->Hosts) {
    if (Each.IsSilent || Without.contains(Id) ||
        (this->IsStopping && Id == this->Self.id()))
      continue;
    Candidate Next{hash64(Each.Host.Name, Partition), Id};
    auto [Position, IsFirst] =
        BestByDomain.try_emplace(Each.Host.FailureDomain, Next);
    if (!IsFirst && Next.Rank < Position->second.Rank)
      Position->second = Next;
  }
  std::vector<Candidate> OtherHomes;
  std::vector<HostId> Homes;
  for (const auto &[Domain, Home] : BestByDomain) {
    if (Domain == this->Self.FailureDomain)
      Homes.push_back(Home.Host);
    else
      OtherHomes.push_back(Home);
  }
  // Spreads requests from different failure domains over different homes.
  for (Candidate &Each : OtherHomes)
    Each.Rank = hash64(this->Self.FailureDomain, Each.Rank);
  std::sort(OtherHomes.begin(), OtherHomes.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Rank < Right.Rank;
            });
  for (const Candidate &Each : OtherHomes)
    Homes.push_back(Each.Host);
  return Homes;
}

bool HostRoster::isHome(unsigned Partition) {
  const std::vector<HostId> &Homes = this->homes(Partition);
  return !Homes.empty() && Homes.front() == this->Self.id();
}

std::vector<HostId> HostRoster::takeDueProbes(TimePoint Now) {
  std::vector<HostId> Due;
  for (auto &[Id, Each] : this->Hosts) {
    if (!Each.IsSilent || Each.ProbeAt > Now)
      continue;
    // A host that is still listed long after it announced leaving is probed
    // like any silent host.
    Each.IsLeaving = false;
    Each.ProbeInterval =
        std::min(2 * Each.ProbeInterval, this->Policy.MaxProbeInterval);
    Each.ProbeAt = Now + Each.ProbeInterval;
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
