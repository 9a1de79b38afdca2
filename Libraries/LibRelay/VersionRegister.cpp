#include "LibRelay/VersionRegister.h"

#include <algorithm>

namespace bergamothook {

bool VersionRegister::onListed(const std::string &Service,
                               const std::string &Version, TimePoint Now) {
  if (this->Sightings.size() >= this->Policy.MaxServices &&
      !this->Sightings.contains(Service) && !this->forgetServices(Now))
    return false;
  auto &Seen = this->Sightings[Service];
  std::erase_if(Seen, [&](const auto &Entry) {
    return Now - Entry.second.Last >= this->Policy.StreamLife;
  });
  auto Found = Seen.find(Version);
  if (Found == Seen.end() && Seen.size() >= this->Policy.MaxVersions)
    return false;
  if (Found == Seen.end())
    Found = Seen.emplace(Version, Sighting{Now, Now}).first;
  if (Now - Found->second.Last >= this->Policy.SightingGap)
    Found->second.First = Now;
  Found->second.Last = Now;
  if (!this->FirstListAsOf)
    this->FirstListAsOf = Now;
  return true;
}

bool VersionRegister::forgetServices(TimePoint Now) {
  return std::erase_if(this->Sightings, [&](const auto &Service) {
           return std::all_of(Service.second.begin(), Service.second.end(),
                              [&](const auto &Version) {
                                return Now - Version.second.Last >=
                                       this->Policy.StreamLife;
                              });
         }) > 0;
}

void VersionRegister::onRead(const std::map<std::string, VersionSet> &Newest,
                             TimePoint AsOf) {
  this->Records = Newest;
  this->ReadAsOf = AsOf;
  for (auto &[Service, Versions] : this->Lost)
    std::erase_if(Versions, [&, &Service = Service](const auto &Entry) {
      return this->Records[Service].contains(Entry.first);
    });
  std::erase_if(this->Lost,
                [](const auto &Entry) { return Entry.second.empty(); });
  std::map<std::pair<std::string, std::string>, TimePoint> Since;
  for (const auto &[Service, Versions] : this->Records)
    for (const auto &[Version, Phase] : Versions)
      if (Phase == VersionPhase::Leaving) {
        auto Found = this->LeavingSince.find({Service, Version});
        Since[{Service, Version}] =
            Found == this->LeavingSince.end() ? AsOf : Found->second;
      }
  this->LeavingSince = std::move(Since);
  this->updateKnown();
}

void VersionRegister::onLogRestored() {
  for (const auto &[Service, Versions] : this->Records)
    this->Lost[Service].insert(Versions.begin(), Versions.end());
  this->updateKnown();
}

void VersionRegister::updateKnown() {
  this->Known = this->Records;
  for (const auto &[Service, Versions] : this->Lost)
    this->Known[Service].insert(Versions.begin(), Versions.end());
}

const VersionSet &VersionRegister::known(const std::string &Service) const {
  static const VersionSet None;
  auto Found = this->Known.find(Service);
  return Found == this->Known.end() ? None : Found->second;
}

bool VersionRegister::hasUnknownVersion(const std::string &Service) const {
  auto Seen = this->Sightings.find(Service);
  if (Seen == this->Sightings.end())
    return false;
  const VersionSet &Known = this->known(Service);
  return std::any_of(
      Seen->second.begin(), Seen->second.end(),
      [&](const auto &Entry) { return !Known.contains(Entry.first); });
}

bool VersionRegister::isReadDue(TimePoint Now) const {
  if (this->mustRead())
    return true;
  Duration Age = Now - *this->ReadAsOf;
  for (const std::string &Service : this->Services) {
    const VersionSet &Known = this->known(Service);
    if (Known.size() > 1 && Age >= this->Policy.MixedReadInterval)
      return true;
    auto Seen = this->Sightings.find(Service);
    if (Seen == this->Sightings.end() ||
        Known.size() >= this->Policy.MaxVersions ||
        Age < (Known.empty() ? this->Policy.TurnTime
                             : this->Policy.AdmissionReadInterval))
      continue;
    for (const auto &[Version, Time] : Seen->second) {
      auto Found = Known.find(Version);
      bool IsInUse =
          Found != Known.end() && Found->second == VersionPhase::InUse;
      // Another host adds a version after this time at the earliest.
      if (!IsInUse &&
          (Known.empty() || Now - Time.First >= this->Policy.ListTolerance))
        return true;
    }
  }
  return false;
}

std::map<std::string, VersionSet> VersionRegister::proposals(TimePoint Now) {
  std::map<std::string, VersionSet> Proposed;
  if (this->mustRead())
    return Proposed;
  for (const std::string &Service : this->Services) {
    auto Found = this->Records.find(Service);
    VersionSet Stored =
        Found == this->Records.end() ? VersionSet{} : Found->second;
    if (this->next(Service, Duration::zero(), Now) == Stored)
      continue;
    Duration Turn = this->turn(Service);
    VersionSet Next = this->next(Service, Turn, Now);
    bool IsOwnTurn =
        !this->Lost.contains(Service) || Now - *this->ReadAsOf >= Turn;
    if (Next != Stored && IsOwnTurn)
      Proposed.emplace(Service, std::move(Next));
  }
  return Proposed;
}

Duration VersionRegister::turn(const std::string &Service) const {
  return this->Policy.TurnTime *
         static_cast<Duration::rep>(this->RankOf(Service));
}

VersionSet VersionRegister::next(const std::string &Service, Duration Turn,
                                 TimePoint Now) const {
  const VersionSet &Known = this->known(Service);
  VersionSet Next = Known;
  auto Seen = this->Sightings.find(Service);
  if (Seen != this->Sightings.end())
    for (const auto &[Version, Time] : Seen->second) {
      if (Now - Time.Last >= this->Policy.StreamLife)
        continue;
      // Without a record, no host takes a version for the only one.
      Duration Wait =
          Known.empty() ? Duration::zero() : this->Policy.ListTolerance;
      if (Now - Time.First < Wait + Turn)
        continue;
      if (Next.size() < this->Policy.MaxVersions || Next.contains(Version))
        Next[Version] = VersionPhase::InUse;
    }
  bool HasOther = std::any_of(Next.begin(), Next.end(), [&](const auto &Entry) {
    return Entry.second == VersionPhase::InUse &&
           !this->isUnlisted(Service, Entry.first, Now);
  });
  if (!HasOther)
    return Next;
  for (const auto &[Version, Phase] : Known) {
    if (!this->isUnlisted(Service, Version, Now - Turn))
      continue;
    if (Phase == VersionPhase::InUse) {
      Next[Version] = VersionPhase::Leaving;
      continue;
    }
    auto Since = this->LeavingSince.find({Service, Version});
    if (Since != this->LeavingSince.end() &&
        Now - Since->second >= this->Policy.StreamLife + Turn)
      Next.erase(Version);
  }
  return Next;
}

bool VersionRegister::isUnlisted(const std::string &Service,
                                 const std::string &Version,
                                 TimePoint Now) const {
  if (!this->FirstListAsOf || !this->ListAsOf ||
      Now - *this->FirstListAsOf < this->Policy.StreamLife ||
      Now - *this->ListAsOf > this->Policy.StreamLife / 2)
    return false;
  auto Seen = this->Sightings.find(Service);
  if (Seen == this->Sightings.end())
    return true;
  auto Found = Seen->second.find(Version);
  return Found == Seen->second.end() ||
         Now - Found->second.Last >= this->Policy.StreamLife;
}

bool VersionRegister::mayBegin(const std::string &Service,
                               const std::string &Version) const {
  const VersionSet &Known = this->known(Service);
  auto Found = Known.find(Version);
  return Found != Known.end() && Found->second == VersionPhase::InUse;
}

bool VersionRegister::hasWatchedList(TimePoint ResumedAt) const {
  return this->ListAsOf && this->FirstListAsOf &&
         ResumedAt - *this->ListAsOf < this->Policy.ListTolerance &&
         ResumedAt - std::max(*this->FirstListAsOf, this->MissedUntil) >=
             2 * this->Policy.SightingGap;
}

bool VersionRegister::isCurrent(const std::string &Service,
                                TimePoint ResumedAt) const {
  if (this->mustRead())
    return false;
  if (*this->ReadAsOf >= ResumedAt)
    return true;
  return this->hasWatchedList(ResumedAt) && !this->hasUnknownVersion(Service);
}

std::optional<std::string>
VersionRegister::onlyVersion(const std::string &Service) const {
  const VersionSet &Known = this->known(Service);
  // A record that can't be read counts as a version that is leaving.
  if (Known.size() != 1 || Known.begin()->second != VersionPhase::InUse)
    return std::nullopt;
  return Known.begin()->first;
}

bool VersionRegister::isMixed(const std::string &Service) const {
  return this->known(Service).size() > 1 || this->hasUnknownVersion(Service);
}

std::set<std::string> VersionRegister::mixedServices() const {
  std::set<std::string> Mixed;
  for (const std::string &Service : this->Services)
    if (this->isMixed(Service))
      Mixed.insert(Service);
  return Mixed;
}

} // namespace bergamothook
