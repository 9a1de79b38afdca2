#include "LibRelay/PeerChooser.h"

#include <algorithm>
#include <numeric>

namespace bergamothook {

bool PeerChooser::mayAsk(HostId Host, TimePoint Now) const {
  auto Found = this->Hosts.find(Host);
  return Found == this->Hosts.end() || Found->second.AskAfter <= Now;
}

bool PeerChooser::isLastResort(HostId Host, TimePoint Now) const {
  auto Found = this->Hosts.find(Host);
  return Found != this->Hosts.end() && Found->second.LastResortUntil > Now;
}

std::size_t PeerChooser::callsAt(HostId Host) const {
  auto Found = this->Hosts.find(Host);
  return Found == this->Hosts.end() ? 0 : Found->second.Calls;
}

std::optional<HostId> PeerChooser::choose(const HostRoster &Roster,
                                          const std::set<HostId> &Asked,
                                          TimePoint Now) {
  std::vector<HostId> Near;
  std::vector<HostId> All;
  std::vector<HostId> LastResort;
  bool IsDomainHit = false;
  for (HostId Host : Roster.otherResponsiveHosts()) {
    bool IsNear =
        Roster.find(Host)->FailureDomain == Roster.self().FailureDomain;
    IsDomainHit |= IsNear && this->isLastResort(Host, Now);
    if (Asked.contains(Host) || !this->mayAsk(Host, Now))
      continue;
    if (this->isLastResort(Host, Now)) {
      LastResort.push_back(Host);
      continue;
    }
    All.push_back(Host);
    if (IsNear)
      Near.push_back(Host);
  }
  const std::vector<HostId> &Others = Near.empty() || IsDomainHit ? All : Near;
  const std::vector<HostId> &Candidates = Others.empty() ? LastResort : Others;
  if (Candidates.empty())
    return std::nullopt;
  // The less busy one of two that are drawn at random.
  HostId First = Candidates[this->Rng.below(Candidates.size())];
  HostId Second = Candidates[this->Rng.below(Candidates.size())];
  return this->callsAt(Second) < this->callsAt(First) ? Second : First;
}

void PeerChooser::onEnded(HostId Host) {
  auto Found = this->Hosts.find(Host);
  if (Found != this->Hosts.end() && Found->second.Calls > 0)
    --Found->second.Calls;
}

void PeerChooser::onVerdict(HostId Host, PeerVerdict Verdict, TimePoint Now) {
  Entry &Known = this->Hosts[Host];
  switch (Verdict) {
  case PeerVerdict::Took:
    Known.LastResortUntil = {};
    break;
  case PeerVerdict::OutOfReach:
    Known.AskAfter = Now + this->Policy.OutOfReachMemory;
    Known.LastResortUntil = Now + this->Policy.LastResortMemory;
    break;
  case PeerVerdict::Busy:
    Known.AskAfter = Now + this->Policy.BusyMemory;
    break;
  }
}

void PeerChooser::onLost(HostId Host, TimePoint Now) {
  this->Hosts[Host].AskAfter = Now + this->Policy.LostMemory;
}

std::size_t PeerChooser::calls() const {
  return std::accumulate(this->Hosts.begin(), this->Hosts.end(), std::size_t{0},
                         [](std::size_t Sum, const auto &Each) {
                           return Sum + Each.second.Calls;
                         });
}

} // namespace bergamothook
