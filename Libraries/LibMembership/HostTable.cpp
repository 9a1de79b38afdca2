#include "LibMembership/HostTable.h"

#include "LibBase/Hash.h"

#include <algorithm>

namespace bergamothook {

namespace {

std::uint64_t digestOf(const HostRumor &Rumor) {
  std::uint64_t Words[] = {Rumor.Host.Value, Rumor.Run, Rumor.Counter,
                           static_cast<std::uint64_t>(Rumor.State)};
  return hash64({reinterpret_cast<const char *>(Words), sizeof(Words)});
}

} // namespace

HostTable::HostTable(HostRumor Self, HostTableLimits Limits)
    : Self(std::move(Self)), Limits(Limits) {}

RumorEffect HostTable::applyToSelf(const HostRumor &Told) {
  bool IsThisRun = Told.Run == this->Self.Run;
  if (IsThisRun && Told.State == this->Self.State)
    return RumorEffect::None;
  if (IsThisRun) {
    if (Told.Counter < this->Self.Counter)
      return RumorEffect::None;
    this->Self.Counter = Told.Counter + 1;
    return RumorEffect::Refuted;
  }
  if (Told.Run == this->Self.ReplacedRun || Told.Run == 0) {
    if (Told.Counter < this->Self.Counter)
      return RumorEffect::None;
    this->Self.Counter = Told.Counter + 1;
    return RumorEffect::Refuted;
  }
  bool IsLater = Told.ReplacedRun == this->Self.Run ||
                 Told.StartedMilliseconds > this->Self.StartedMilliseconds;
  if (IsLater)
    return RumorEffect::Replaced;
  this->Self.ReplacedRun = Told.Run;
  this->Self.Counter = std::max(this->Self.Counter, Told.Counter) + 1;
  return RumorEffect::Refuted;
}

RumorEffect HostTable::apply(const HostRumor &Told, TimePoint Now) {
  if (Told.Host == this->Self.Host)
    return this->applyToSelf(Told);
  // A dead host that was forgotten here stays forgotten, or hosts would keep
  // it among themselves for ever.
  if (Told.State == HostState::Dead && !this->Hosts.contains(Told.Host))
    return RumorEffect::None;
  auto [Known, IsNew] = this->Hosts.try_emplace(Told.Host);
  Entry &Present = Known->second;
  if (!IsNew && !overrides(Told, Present.Rumor))
    return RumorEffect::None;
  bool IsNewRun = Present.Rumor.Run != Told.Run;
  if (IsNewRun || Told.Counter > Present.Rumor.Counter)
    Present.SuspectedSince.reset();
  if (IsNewRun)
    Present.LastHeard = TimePoint{};
  Present.Rumor = Told;
  Present.ChangedAt = Now;
  if (Told.State == HostState::Suspect)
    Present.SuspectedSince = Now;
  return RumorEffect::News;
}

void HostTable::addListed(HostId Host, FailureDomainId Domain, TimePoint Now) {
  if (Host == this->Self.Host)
    return;
  auto [Known, IsNew] = this->Hosts.try_emplace(Host);
  if (!IsNew)
    return;
  Known->second.Rumor.Host = Host;
  Known->second.Rumor.Domain = Domain;
  Known->second.ChangedAt = Now;
}

void HostTable::heard(const Incarnation &Sender, TimePoint Now) {
  auto Known = this->Hosts.find(Sender.Host);
  if (Known != this->Hosts.end() && Known->second.Rumor.Run == Sender.Run)
    Known->second.LastHeard = Now;
}

std::optional<HostRumor> HostTable::suspect(HostId Host, TimePoint Now) {
  auto Known = this->Hosts.find(Host);
  if (Known == this->Hosts.end() || Known->second.SuspectedSince ||
      Known->second.Rumor.State == HostState::Dead)
    return std::nullopt;
  Entry &Present = Known->second;
  Present.SuspectedSince = Now;
  if (Present.Rumor.State != HostState::Alive)
    return std::nullopt;
  Present.Rumor.State = HostState::Suspect;
  Present.ChangedAt = Now;
  return Present.Rumor;
}

std::vector<HostRumor> HostTable::expire(TimePoint Now) {
  std::vector<HostRumor> Died;
  for (auto &[Host, Present] : this->Hosts) {
    if (Present.Rumor.State == HostState::Dead || !Present.SuspectedSince ||
        Now - *Present.SuspectedSince < this->Limits.SuspectTimeout)
      continue;
    // A host that was heard meanwhile lives, whatever others have missed.
    bool WasHeard = Present.LastHeard > *Present.SuspectedSince;
    Present.SuspectedSince.reset();
    if (WasHeard && Present.Rumor.State == HostState::Suspect)
      Present.Rumor.State = HostState::Alive;
    if (WasHeard)
      continue;
    Present.Rumor.State = HostState::Dead;
    Present.ChangedAt = Now;
    Died.push_back(Present.Rumor);
  }
  std::erase_if(this->Hosts, [&](const auto &Known) {
    return Known.second.Rumor.State == HostState::Dead &&
           Now - Known.second.ChangedAt > this->Limits.DeadRetention;
  });
  return Died;
}

void HostTable::leave() {
  this->Self.State = HostState::Leaving;
  ++this->Self.Counter;
}

bool HostTable::isUsable(HostId Host) const {
  auto Known = this->Hosts.find(Host);
  return Known != this->Hosts.end() &&
         Known->second.Rumor.State <= HostState::Suspect;
}

std::optional<HostRumor> HostTable::find(HostId Host) const {
  auto Known = this->Hosts.find(Host);
  if (Known == this->Hosts.end())
    return std::nullopt;
  return Known->second.Rumor;
}

std::vector<HostRumor> HostTable::present() const {
  std::vector<HostRumor> Known;
  for (const auto &[Host, Present] : this->Hosts)
    if (Present.Rumor.State != HostState::Dead)
      Known.push_back(Present.Rumor);
  return Known;
}

std::vector<HostRumor> HostTable::all() const {
  std::vector<HostRumor> Known{this->Self};
  for (const auto &[Host, Present] : this->Hosts)
    Known.push_back(Present.Rumor);
  return Known;
}

std::uint64_t HostTable::digest() const {
  std::uint64_t Sum = digestOf(this->Self);
  for (const auto &[Host, Present] : this->Hosts)
    if (Present.Rumor.State != HostState::Dead)
      Sum += digestOf(Present.Rumor);
  return Sum;
}

} // namespace bergamothook
