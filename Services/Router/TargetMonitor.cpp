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
    auto Latest = this->List.Read(Now + this->Settings.ListTimeout);
    if (Latest)
      this->applyList(Latest.value());
    this->Tasks.sleepUntil(Now + this->Settings.ListInterval);
  }
}

void TargetMonitor::applyList(const MemberList &Latest) {
  // A lagging replica of the list may return an older version.
  if (this->HasList && Latest.Version < this->Version)
    return;
  this->HasList = true;
  this->Version = Latest.Version;
  std::set<TargetId> ListedTargets;
  for (const Member &Entry : Latest.Members) {
    ListedTargets.insert(idOfName<TargetId>(Entry.Name));
    this->applyMember(Entry);
  }
  // Assumes that every entry host sends as much load to the targets as this
  // one.
  auto Hosts = static_cast<std::uint32_t>(this->entryHosts().size());
  this->Table.setHosts(std::max(1U, Hosts));
  std::erase_if(this->Members, [&](const auto &Item) {
    if (ListedTargets.contains(Item.first))
      return false;
    this->removeTarget(Item.first);
    return true;
  });
}

void TargetMonitor::applyMember(const Member &Entry) {
  TargetId Target = idOfName<TargetId>(Entry.Name);
  this->Members[Target] = Entry;
  if (Entry.State == MemberState::Leaving)
    this->markLeaving(Target);
  if (Entry.Role != MemberRole::Engine)
    return;
  this->upsertTarget(Entry, this->Tasks.Now());
  if (this->Leaving.contains(Target))
    this->Table.setState(Target, TargetState::Leaving);
  if (this->PolledEngines.insert(Target).second)
    this->Tasks.Spawn([this, Target] { this->pollEngine(Target); });
}

void TargetMonitor::upsertTarget(const Member &Entry, TimePoint Now) {
  TargetInfo Info = this->infoOf(Entry);
  bool IsNew = !this->Table.find(Info.Id);
  this->Table.upsert(Info, Now);
  auto SlotIndex = this->Table.slotOf(Info.Id);
  if (IsNew && SlotIndex)
    this->Outliers.add(SlotIndex.value(), Now);
}

void TargetMonitor::removeTarget(TargetId Target) {
  auto SlotIndex = this->Table.slotOf(Target);
  if (SlotIndex)
    this->Outliers.remove(SlotIndex.value());
  this->Table.remove(Target);
  this->LoadedModels.erase(Target);
  this->Leaving.erase(Target);
}

TargetInfo TargetMonitor::infoOf(const Member &Entry) const {
  TargetInfo Info;
  Info.Id = idOfName<TargetId>(Entry.Name);
  Info.Address = {Entry.Address, Entry.Port};
  Info.Domain = idOfName<FailureDomainId>(Entry.FailureDomain);
  Info.ChecksFence = Entry.ChecksFence;
  auto Loaded = this->LoadedModels.find(Info.Id);
  const auto &Models =
      Loaded == this->LoadedModels.end() ? Entry.Serves : Loaded->second;
  for (const auto &Model : Models)
    Info.Models.push_back(idOfName<ModelId>(Model));
  return Info;
}

void TargetMonitor::markLeaving(TargetId Target) {
  if (!this->Leaving.insert(Target).second)
    return;
  this->Table.setState(Target, TargetState::Leaving);
  const Member *Entry = this->find(Target);
  if (!Entry)
    return;
  logEvent(LogLevel::Info, "target_leaving", {{"target", Entry->Name}});
  if (this->OnLeaving)
    this->OnLeaving(Target);
}

void TargetMonitor::pollEngine(TargetId Target) {
  while (!this->IsStopping && this->Members.contains(Target)) {
    TimePoint RequestedAt = this->Tasks.Now();
    auto Load = this->Engines.ReadLoad(
        this->addressOf(Target), RequestedAt + this->Settings.LoadTimeout);
    if (Load && this->Members.contains(Target))
      this->applyLoad(Target, Load.value(), RequestedAt);
    this->Tasks.sleepUntil(RequestedAt + this->Settings.LoadInterval);
  }
  this->PolledEngines.erase(Target);
}

void TargetMonitor::applyLoad(TargetId Target, const EngineLoad &Load,
                              TimePoint RequestedAt) {
  if (Load.IsLeaving)
    this->markLeaving(Target);
  auto &Models = this->LoadedModels[Target];
  if (Models != Load.LoadedModels) {
    Models = Load.LoadedModels;
    this->Table.upsert(this->infoOf(this->Members[Target]), this->Tasks.Now());
  }
  this->Table.report(Target, reportOf(Load, RequestedAt));
}

std::vector<TargetId> TargetMonitor::serving(MemberRole Role,
                                             const std::string &Service) const {
  std::vector<TargetId> Targets;
  for (const auto &[Target, Entry] : this->Members) {
    if (Entry.Role != Role || this->Leaving.contains(Target))
      continue;
    if (std::ranges::find(Entry.Serves, Service) != Entry.Serves.end())
      Targets.push_back(Target);
  }
  return Targets;
}

const Member *TargetMonitor::find(TargetId Target) const {
  auto Entry = this->Members.find(Target);
  return Entry == this->Members.end() ? nullptr : &Entry->second;
}

TargetAddress TargetMonitor::addressOf(TargetId Target) const {
  const Member *Entry = this->find(Target);
  return Entry ? TargetAddress{Entry->Address, Entry->Port} : TargetAddress{};
}

std::vector<std::string> TargetMonitor::leaving() const {
  std::vector<std::string> Names;
  for (TargetId Target : this->Leaving)
    if (const Member *Entry = this->find(Target))
      Names.push_back(Entry->Name);
  return Names;
}

std::vector<Member> TargetMonitor::entryHosts() const {
  std::vector<Member> Hosts;
  for (const auto &[Target, Entry] : this->Members)
    if (Entry.Role == MemberRole::EntryHost)
      Hosts.push_back(Entry);
  return Hosts;
}

std::set<std::string> TargetMonitor::models() const {
  std::set<std::string> Names;
  for (const auto &[Target, Entry] : this->Members)
    if (Entry.Role == MemberRole::Engine)
      Names.insert(Entry.Serves.begin(), Entry.Serves.end());
  for (const auto &[Target, Loaded] : this->LoadedModels)
    Names.insert(Loaded.begin(), Loaded.end());
  return Names;
}

} // namespace bergamothook
