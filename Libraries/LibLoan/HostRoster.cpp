#include "LibLoan/HostRoster.h"

#include <algorithm>
#include <tuple>

namespace bergamothook {

namespace {

/// How long firstHosts() can include a removed host.
constexpr Duration RemovedHostMemory = std::chrono::minutes(1);

} // namespace

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

void HostRoster::replaceAll(const std::vector<RosterHost> &Listed,
                            TimePoint Now) {
  std::set<HostId> Present{this->Self.id()};
  for (const RosterHost &Host : Listed) {
    Present.insert(Host.id());
    this->put(Host);
  }
  std::vector<HostId> Absent;
  for (const auto &[Id, Each] : this->Hosts)
    if (!Present.contains(Id))
      Absent.push_back(Id);
  for (HostId Host : Absent)
    this->forget(Host, Now);
  this->CachedHomes.clear();
}

void HostRoster::remove(const std::string &Name, TimePoint Now) {
  auto Host = idOfName<HostId>(Name);
  if (Host == this->Self.id())
    return;
  this->forget(Host, Now);
  this->CachedHomes.clear();
}

void HostRoster::forget(HostId Host, TimePoint Now) {
  std::erase_if(this->RemovedHosts, [Now](const auto &Each) {
    return Now - Each.second.second > RemovedHostMemory;
  });
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end())
    return;
  this->RemovedHosts[Host] = {Found->second.Host.Name, Now};
  this->Hosts.erase(Found);
}

void HostRoster::setSettled(TimePoint Now) {
  if (!this->SettledAt)
    this->SettledAt = Now;
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

std::vector<HostId> HostRoster::firstHosts(std::string_view Key,
                                           std::size_t Count,
                                           TimePoint RemovedAfter) const {
  std::uint64_t Seed = hash64(Key);
  std::vector<std::pair<std::uint64_t, HostId>> Ranked;
  for (const auto &[Id, Each] : this->Hosts)
    Ranked.emplace_back(hash64(Each.Host.Name, Seed), Id);
  for (const auto &[Id, Removed] : this->RemovedHosts)
    if (Removed.second > RemovedAfter && !this->Hosts.contains(Id))
      Ranked.emplace_back(hash64(Removed.first, Seed), Id);
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<HostId> First;
  for (const auto &[Rank, Id] : Ranked)
    if (First.size() < Count)
      First.push_back(Id);
  return First;
}

HostId HostRoster::firstResponsive(std::string_view Key) const {
  std::uint64_t Seed = hash64(Key);
  std::optional<std::pair<std::uint64_t, HostId>> Best;
  for (const auto &[Id, Each] : this->Hosts) {
    if (Each.IsSilent || (this->IsStopping && Id == this->Self.id()))
      continue;
    std::pair Candidate{hash64(Each.Host.Name, Seed), Id};
    Best = Best ? std::min(*Best, Candidate) : Candidate;
  }
  return Best ? Best->second : this->Self.id();
}

bool HostRoster::ranksBefore(std::string_view Key, HostId Left,
                             HostId Right) const {
  std::uint64_t Seed = hash64(Key);
  auto RankOf = [&](HostId Host) {
    const RosterHost *Found = this->find(Host);
    return std::tuple(!Found, Found ? hash64(Found->Name, Seed) : 0, Host);
  };
  return RankOf(Left) < RankOf(Right);
}

bool HostRoster::isResponsive(HostId Host) const {
  auto Found = this->Hosts.find(Host);
  return Found != this->Hosts.end() && !Found->second.IsSilent &&
         !(this->IsStopping && Host == this->Self.id());
}

std::vector<HostId> HostRoster::otherResponsiveHosts() const {
  std::vector<HostId> Others;
  for (const auto &[Id, Each] : this->Hosts)
    if (!Each.IsSilent && Id != this->Self.id())
      Others.push_back(Id);
  return Others;
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
