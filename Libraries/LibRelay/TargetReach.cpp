#include "LibRelay/TargetReach.h"

#include <algorithm>
#include <utility>

namespace bergamothook {

const TargetReach::Entry *TargetReach::find(const std::string &Service) const {
  auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

void TargetReach::onSent(const std::string &Service, const std::string &Target,
                         TimePoint Now) {
  WaitingCalls &Waiting = this->Services[Service].Waiting[Target];
  if (Waiting.Calls++ == 0)
    Waiting.QuietSince = Now;
}

void TargetReach::onEnded(const std::string &Service,
                          const std::string &Target) {
  Entry &Known = this->Services[Service];
  auto Found = Known.Waiting.find(Target);
  if (Found != Known.Waiting.end() && --Found->second.Calls == 0)
    Known.Waiting.erase(Found);
}

void TargetReach::onHeard(const std::string &Service, const std::string &Target,
                          TimePoint Now) {
  Entry &Known = this->Services[Service];
  Known.HeardAt = Now;
  Known.Failed.erase(Target);
  auto Found = Known.Waiting.find(Target);
  if (Found != Known.Waiting.end())
    Found->second.QuietSince = Now;
}

void TargetReach::onFailed(const std::string &Service,
                           const std::string &Target, TimePoint Now) {
  Entry &Known = this->Services[Service];
  // Targets that are no longer listed do not fail again.
  std::erase_if(Known.Failed, [&](const auto &Each) {
    return Now - Each.second >= this->Policy.FailureMemory;
  });
  Known.Failed[Target] = Now;
}

std::size_t TargetReach::failedTargets(const std::string &Service,
                                       TimePoint Now) const {
  const Entry *Known = this->find(Service);
  if (!Known)
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Known->Failed.begin(), Known->Failed.end(), [&](const auto &Each) {
        return Now - Each.second < this->Policy.FailureMemory;
      }));
}

std::size_t TargetReach::silentTargets(const std::string &Service,
                                       TimePoint Now) const {
  const Entry *Known = this->find(Service);
  if (!Known || Now - Known->HeardAt < this->Policy.SilenceTime)
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Known->Waiting.begin(), Known->Waiting.end(), [&](const auto &Each) {
        return Now - Each.second.QuietSince >= this->Policy.SilenceTime;
      }));
}

bool TargetReach::isSilent(const std::string &Service,
                           const std::string &Target, TimePoint Now) const {
  const Entry *Known = this->find(Service);
  if (!Known)
    return false;
  auto Found = Known->Waiting.find(Target);
  return Found != Known->Waiting.end() &&
         Now - Found->second.QuietSince >= this->Policy.SilenceTime;
}

bool TargetReach::isSuspect(const std::string &Service, std::size_t Usable,
                            TimePoint Now) const {
  const Entry *Known = this->find(Service);
  if (!Known || Usable < this->Policy.MinTargets)
    return false;
  if (Known->LostAt)
    return true;
  if (Known->ProbedAt &&
      Now - *Known->ProbedAt < this->Policy.CalmProbeInterval)
    return false;
  return this->failedTargets(Service, Now) >= this->Policy.MinTargets ||
         this->silentTargets(Service, Now) >=
             std::min(this->Policy.MinSilentTargets, Usable);
}

std::vector<std::string>
TargetReach::chooseProbes(const std::string &Service,
                          std::vector<std::string> Usable, Random &Rng) const {
  for (std::size_t I = Usable.size(); I > 1; --I)
    std::swap(Usable[I - 1], Usable[Rng.below(I)]);
  if (const Entry *Known = this->find(Service))
    std::stable_partition(Usable.begin(), Usable.end(),
                          [Known](const std::string &Target) {
                            return !Known->Failed.contains(Target);
                          });
  Usable.resize(std::min(Usable.size(), this->Policy.MaxProbes));
  return Usable;
}

ReachChange TargetReach::onProbed(const std::string &Service,
                                  std::size_t Probed, std::size_t Reached,
                                  TimePoint Now) {
  Entry &Known = this->Services[Service];
  Known.ProbedAt = Now;
  // With too few targets listed, failures can't be told from those of a link.
  if (Reached == 0 && Probed >= this->Policy.MinTargets) {
    if (Known.LostAt)
      return ReachChange::None;
    Known.LostAt = Now;
    return ReachChange::Lost;
  }
  Known.Failed.clear();
  if (!Known.LostAt)
    return ReachChange::None;
  Known.LostAt.reset();
  Known.RegainedAt = Now;
  return ReachChange::Regained;
}

bool TargetReach::isLost(const std::string &Service) const {
  const Entry *Known = this->find(Service);
  return Known && Known->LostAt;
}

bool TargetReach::mayUseOwnLinks(const std::string &Service, double Draw,
                                 TimePoint Now) const {
  const Entry *Known = this->find(Service);
  if (!Known)
    return true;
  if (Known->LostAt)
    return false;
  return !Known->RegainedAt ||
         Now - *Known->RegainedAt >= Draw * this->Policy.ReturnTime;
}

std::size_t TargetReach::lostServices() const {
  return static_cast<std::size_t>(std::count_if(
      this->Services.begin(), this->Services.end(),
      [](const auto &Each) { return Each.second.LostAt.has_value(); }));
}

Duration TargetReach::lostFor(const std::string &Service, TimePoint Now) const {
  const Entry *Known = this->find(Service);
  return Known && Known->LostAt ? Now - *Known->LostAt : Duration::zero();
}

} // namespace bergamothook
