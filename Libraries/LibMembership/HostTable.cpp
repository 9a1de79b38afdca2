#include "LibMembership/HostTable.h"

#include "LibBase/Hash.h"

#include <algorithm>

namespace bergamothook {

namespace {

std::uint64_t digestOf(const HostRumor &Rumor) {
  std::uint64_t Fields[] = {Rumor.Host.Value, Rumor.Run, Rumor.Counter,
                            static_cast<std::uint64_t>(Rumor.State)};
  return hash64({reinterpret_cast<const char *>(Fields), sizeof(Fields)});
}

} // namespace

HostTable::HostTable(HostRumor Self, HostTableLimits Limits)
    : Self(std::move(Self)), Limits(Limits) {}

RumorEffect HostTable::applyToSelf(const HostRumor &Received) {
  bool IsThisRun = Received.Run == this->Self.Run;
  if (IsThisRun && Received.State == this->Self.State)
    return RumorEffect::None;
  if (IsThisRun) {
    if (Received.Counter < this->Self.Counter)
      return RumorEffect::None;
    this->Self.Counter = Received.Counter + 1;
    return RumorEffect::Refuted;
  }
  if (Received.Run == this->Self.ReplacedRun || Received.Run == 0) {
    if (Received.Counter < this->Self.Counter)
      return RumorEffect::None;
    this->Self.Counter = Received.Counter + 1;
    return RumorEffect::Refuted;
  }
  bool IsLater = Received.ReplacedRun == this->Self.Run ||
                 Received.StartedMilliseconds > this->Self.StartedMilliseconds;
  if (IsLater)
    return RumorEffect::Replaced;
  this->Self.ReplacedRun = Received.Run;
  this->Self.Counter = std::max(this->Self.Counter, Received.Counter) + 1;
  return RumorEffect::Refuted;
}

RumorEffect HostTable::apply(const HostRumor &Received, TimePoint Now) {
  if (Received.Host == this->Self.Host)
    return this->applyToSelf(Received);
  // A rumor about a dead host never adds an entry. Otherwise hosts would pass
  // the entry to one another forever after it expires.
  if (Received.State == HostState::Dead && !this->Hosts.contains(Received.Host))
    return RumorEffect::None;
  auto [Found, IsNew] = this->Hosts.try_emplace(Received.Host);
  Entry &Current = Found->second;
  if (!IsNew && !overrides(Received, Current.Rumor))
    return RumorEffect::None;
  bool IsNewRun = Current.Rumor.Run != Received.Run;
  if (IsNewRun || Received.Counter > Current.Rumor.Counter)
    Current.SuspectedSince.reset();
  if (IsNewRun)
    Current.LastHeard = TimePoint{};
  Current.Rumor = Received;
  Current.ChangedAt = Now;
  if (Received.State == HostState::Suspect)
    Current.SuspectedSince = Now;
  return RumorEffect::News;
}

void HostTable::addListed(HostId Host, FailureDomainId Domain, TimePoint Now) {
  if (Host == this->Self.Host)
    return;
  auto [Found, IsNew] = this->Hosts.try_emplace(Host);
  if (!IsNew)
    return;
  Found->second.Rumor.Host = Host;
  Found->second.Rumor.Domain = Domain;
  Found->second.ChangedAt = Now;
}

void HostTable::markHeard(const Incarnation &Sender, TimePoint Now) {
  auto Found = this->Hosts.find(Sender.Host);
  if (Found != this->Hosts.end() && Found->second.Rumor.Run == Sender.Run)
    Found->second.LastHeard = Now;
}

std::optional<HostRumor> HostTable::suspect(HostId Host, TimePoint Now) {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end() || Found->second.SuspectedSince ||
      Found->second.Rumor.State == HostState::Dead)
    return std::nullopt;
  Entry &Current = Found->second;
  Current.SuspectedSince = Now;
  if (Current.Rumor.State != HostState::Alive)
    return std::nullopt;
  Current.Rumor.State = HostState::Suspect;
  Current.ChangedAt = Now;
  return Current.Rumor;
}

std::vector<HostRumor> HostTable::expire(TimePoint Now) {
  std::vector<HostRumor> NewlyDead;
  for (auto &[Host, Current] : this->Hosts) {
    if (Current.Rumor.State == HostState::Dead || !Current.SuspectedSince ||
        Now - *Current.SuspectedSince < this->Limits.SuspectTimeout)
      continue;
    // A message received since the suspicion proves that the host is alive,
    // even if other hosts received none.
    bool WasHeard = Current.LastHeard > *Current.SuspectedSince;
    Current.SuspectedSince.reset();
    if (WasHeard && Current.Rumor.State == HostState::Suspect)
      Current.Rumor.State = HostState::Alive;
    if (WasHeard)
      continue;
    Current.Rumor.State = HostState::Dead;
    Current.ChangedAt = Now;
    NewlyDead.push_back(Current.Rumor);
  }
  std::erase_if(this->Hosts, [&](const auto &Found) {
    return Found.second.Rumor.State == HostState::Dead &&
           Now - Found.second.ChangedAt > this->Limits.DeadRetention;
  });
  return NewlyDead;
}

void HostTable::leave() {
  this->Self.State = HostState::Leaving;
  ++this->Self.Counter;
}

bool HostTable::isUsable(HostId Host) const {
  auto Found = this->Hosts.find(Host);
  return Found != this->Hosts.end() &&
         Found->second.Rumor.State <= HostState::Suspect;
}

std::optional<HostRumor> HostTable::find(HostId Host) const {
  auto Found = this->Hosts.find(Host);
  if (Found == this->Hosts.end())
    return std::nullopt;
  return Found->second.Rumor;
}

std::vector<HostRumor> HostTable::present() const {
  std::vector<HostRumor> Rumors;
  for (const auto &[Host, Current] : this->Hosts)
    if (Current.Rumor.State != HostState::Dead)
      Rumors.push_back(Current.Rumor);
  return Rumors;
}

std::vector<HostRumor> HostTable::all() const {
  std::vector<HostRumor> Rumors{this->Self};
  for (const auto &[Host, Current] : this->Hosts)
    Rumors.push_back(Current.Rumor);
  return Rumors;
}

std::uint64_t HostTable::digest() const {
  std::uint64_t Sum = digestOf(this->Self);
  for (const auto &[Host, Current] : this->Hosts)
    if (Current.Rumor.State != HostState::Dead)
      Sum += digestOf(Current.Rumor);
  return Sum;
}

} // namespace bergamothook
