#include "TargetMonitor.h"

#include "LibObserve/StructuredLog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

TargetMonitor::TargetMonitor(TargetTable &Table, OutlierDetector &Outliers,
                             MembershipHooks List, EngineHooks Engines,
                             Runtime Tasks, TargetMonitorSettings Settings)
    : Table(Table), Outliers(Outliers), List(std::move(List)),
      Engines(std::move(Engines)), Tasks(std::move(Tasks)), Settings(Settings) {
}

void TargetMonitor::run() {
  while (!this->IsStopping) {
    TimePoint Now = this->Tasks.Now();
    auto Read = this->List.Read(Now + this->Settings.ListTimeout);
    if (Read)
      this->take(Read.value());
    this->Tasks.sleepUntil(Now + this->Settings.ListInterval);
  }
}

void TargetMonitor::take(const MemberList &Read) {
  // An older version may arrive late from a replica of the list.
  if (this->HasList && Read.Version < this->Version)
    return;
  this->HasList = true;
  this->Version = Read.Version;
  std::set<TargetId> Named;
  for (const Member &Known : Read.Members) {
    Named.insert(idOfName<TargetId>(Known.Name));
    this->takeMember(Known);
  }
  // Each live host is assumed to send as much to the targets as this one.
  auto Hosts = static_cast<std::uint32_t>(this->entryHosts().size());
  this->Table.setHosts(std::max(1U, Hosts));
  std::erase_if(this->Members, [&](const auto &Item) {
    if (Named.contains(Item.first))
      return false;
    this->forget(Item.first);
    return true;
  });
}

void TargetMonitor::takeMember(const Member &Known) {
  TargetId Target = idOfName<TargetId>(Known.Name);
  this->Members[Target] = Known;
  if (Known.State == MemberState::Leaving)
    this->markLeaving(Target);
  if (Known.Role != MemberRole::Engine)
    return;
  this->join(Known, this->Tasks.Now());
  if (this->Leaving.contains(Target))
    this->Table.setState(Target, TargetState::Leaving);
  if (this->Watched.insert(Target).second)
    this->Tasks.Spawn([this, Target] { this->watchEngine(Target); });
}

void TargetMonitor::join(const Member &Known, TimePoint Now) {
  TargetInfo Info = this->infoOf(Known);
  bool IsNew = !this->Table.find(Info.Id);
  this->Table.upsert(Info, Now);
  auto Place = this->Table.slotOf(Info.Id);
  if (IsNew && Place)
    this->Outliers.add(Place.value(), Now);
}

void TargetMonitor::forget(TargetId Target) {
  auto Place = this->Table.slotOf(Target);
  if (Place)
    this->Outliers.remove(Place.value());
  this->Table.remove(Target);
  this->LoadedModels.erase(Target);
  this->Leaving.erase(Target);
}

TargetInfo TargetMonitor::infoOf(const Member &Known) const {
  TargetInfo Info;
  Info.Id = idOfName<TargetId>(Known.Name);
  Info.Address = {Known.Address, Known.Port};
  Info.Domain = idOfName<FailureDomainId>(Known.FailureDomain);
  Info.ChecksFence = Known.ChecksFence;
  auto Loaded = this->LoadedModels.find(Info.Id);
  const auto &Models =
      Loaded == this->LoadedModels.end() ? Known.Serves : Loaded->second;
  for (const auto &Model : Models)
    Info.Models.push_back(idOfName<ModelId>(Model));
  return Info;
}

void TargetMonitor::markLeaving(TargetId Target) {
  if (!this->Leaving.insert(Target).second)
    return;
  this->Table.setState(Target, TargetState::Leaving);
  const Member *Known = this->find(Target);
  if (!Known)
    return;
  logEvent(LogLevel::Info, "target_leaving", {{"target", Known->Name}});
  if (this->OnLeaving)
    this->OnLeaving(Target);
}

void TargetMonitor::watchEngine(TargetId Target) {
  while (!this->IsStopping && this->Members.contains(Target)) {
    TimePoint AskedAt = this->Tasks.Now();
    auto Load = this->Engines.ReadLoad(this->addressOf(Target),
                                       AskedAt + this->Settings.LoadTimeout);
    if (Load && this->Members.contains(Target))
      this->takeLoad(Target, Load.value(), AskedAt);
    this->Tasks.sleepUntil(AskedAt + this->Settings.LoadInterval);
  }
  this->Watched.erase(Target);
}

void TargetMonitor::takeLoad(TargetId Target, const EngineLoad &Load,
                             TimePoint AskedAt) {
  if (Load.IsLeaving)
    this->markLeaving(Target);
  auto &Known = this->LoadedModels[Target];
  if (Known != Load.LoadedModels) {
    Known = Load.LoadedModels;
    this->Table.upsert(this->infoOf(this->Members[Target]), this->Tasks.Now());
  }
  this->Table.report(Target, reportOf(Load, AskedAt));
}

std::vector<TargetId> TargetMonitor::serving(MemberRole Role,
                                             const std::string &Service) const {
  std::vector<TargetId> Found;
  for (const auto &[Target, Known] : this->Members) {
    if (Known.Role != Role || this->Leaving.contains(Target))
      continue;
    if (std::ranges::find(Known.Serves, Service) != Known.Serves.end())
      Found.push_back(Target);
  }
  return Found;
}

const Member *TargetMonitor::find(TargetId Target) const {
  auto Known = this->Members.find(Target);
  return Known == this->Members.end() ? nullptr : &Known->second;
}

TargetAddress TargetMonitor::addressOf(TargetId Target) const {
  const Member *Known = this->find(Target);
  return Known ? TargetAddress{Known->Address, Known->Port} : TargetAddress{};
}

std::vector<std::string> TargetMonitor::leaving() const {
  std::vector<std::string> Names;
  for (TargetId Target : this->Leaving)
    if (const Member *Known = this->find(Target))
      Names.push_back(Known->Name);
  return Names;
}

std::vector<Member> TargetMonitor::entryHosts() const {
  std::vector<Member> Hosts;
  for (const auto &[Target, Known] : this->Members)
    if (Known.Role == MemberRole::EntryHost)
      Hosts.push_back(Known);
  return Hosts;
}

std::set<std::string> TargetMonitor::models() const {
  std::set<std::string> Names;
  for (const auto &[Target, Known] : this->Members)
    if (Known.Role == MemberRole::Engine)
      Names.insert(Known.Serves.begin(), Known.Serves.end());
  for (const auto &[Target, Loaded] : this->LoadedModels)
    Names.insert(Loaded.begin(), Loaded.end());
  return Names;
}

} // namespace bergamothook
