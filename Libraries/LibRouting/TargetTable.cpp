#include "LibRouting/TargetTable.h"

#include "LibRouting/RoutingError.h"
#include "LibRouting/Seconds.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace bergamothook {

namespace {

/// The changes kept since the last report; older ones are merged.
constexpr std::size_t MaxChanges = 64;

template <typename Number> Number lessAtLeastZero(Number Value, Number Less) {
  return Value > Less ? Value - Less : Number{0};
}

} // namespace

ModelId variantIdOf(std::string_view Model, std::string_view Adapter,
                    std::string_view Version) {
  if (Adapter.empty() && Version.empty())
    return idOfName<ModelId>(Model);
  std::string Name(Model);
  Name.append("/").append(Adapter).append("@").append(Version);
  return idOfName<ModelId>(Name);
}

LoadReport reportOf(const EngineLoad &Load, TimePoint TakenAt) {
  LoadReport Report;
  Report.TakenAt = TakenAt;
  Report.Running = Load.Running;
  Report.Waiting = Load.Waiting;
  Report.WaitingPrefillTokens = Load.WaitingPrefillTokens;
  Report.PrefillTokensPerSecond = Load.PrefillTokensPerSecond;
  Report.DecodeTokensPerSecond = Load.DecodeTokensPerSecond;
  Report.BatchLimit = Load.BatchLimit;
  return Report;
}

TargetTable::TargetTable(TargetTableSettings Settings) : Settings(Settings) {}

void TargetTable::upsert(const TargetInfo &Info, TimePoint Now) {
  auto Known = this->SlotOfTarget.find(Info.Id);
  if (Known != this->SlotOfTarget.end()) {
    this->unindex(Known->second);
    this->Entries[Known->second].Info = Info;
    this->index(Known->second);
    return;
  }
  Slot Place = static_cast<Slot>(this->Entries.size());
  if (this->Unused.empty()) {
    this->Entries.emplace_back();
  } else {
    Place = this->Unused.back();
    this->Unused.pop_back();
    this->Entries[Place] = Entry();
  }
  Entry &Target = this->Entries[Place];
  Target.Info = Info;
  Target.IsUsed = true;
  Target.Joined = Now;
  this->SlotOfTarget.emplace(Info.Id, Place);
  this->index(Place);
}

void TargetTable::remove(TargetId Id) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Slot Place = Known->second;
  this->unindex(Place);
  this->Entries[Place] = Entry();
  this->Unused.push_back(Place);
  this->SlotOfTarget.erase(Known);
}

void TargetTable::setState(TargetId Id, TargetState State) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known != this->SlotOfTarget.end())
    this->Entries[Known->second].State = State;
}

void TargetTable::report(TargetId Id, const LoadReport &Report) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Entry &Target = this->Entries[Known->second];
  if (Target.HasReport && Report.TakenAt < Target.Report.TakenAt)
    return;
  Target.Report = Report;
  Target.HasReport = true;
  std::erase_if(Target.SinceReport, [&](const Entry::Change &Change) {
    return Change.At <= Report.TakenAt;
  });
}

void TargetTable::dispatched(TargetId Id, std::uint64_t PrefillTokens,
                             TimePoint Now) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Entry &Target = this->Entries[Known->second];
  Target.OwnWaiting += 1;
  Target.OwnPrefillTokens += PrefillTokens;
  auto Added = static_cast<std::int64_t>(PrefillTokens);
  this->change(Target, {Now, 0, 1, Added});
}

void TargetTable::firstToken(TargetId Id, std::uint64_t PrefillTokens,
                             TimePoint Now) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Entry &Target = this->Entries[Known->second];
  Target.OwnWaiting = lessAtLeastZero(Target.OwnWaiting, 1U);
  Target.OwnRunning += 1;
  Target.OwnPrefillTokens =
      lessAtLeastZero(Target.OwnPrefillTokens, PrefillTokens);
  auto Computed = static_cast<std::int64_t>(PrefillTokens);
  this->change(Target, {Now, 1, -1, -Computed});
}

void TargetTable::finished(TargetId Id, std::uint64_t PrefillTokens,
                           bool HadFirstToken, TimePoint Now) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Entry &Target = this->Entries[Known->second];
  if (HadFirstToken) {
    Target.OwnRunning = lessAtLeastZero(Target.OwnRunning, 1U);
    this->change(Target, {Now, -1, 0, 0});
    return;
  }
  Target.OwnWaiting = lessAtLeastZero(Target.OwnWaiting, 1U);
  Target.OwnPrefillTokens =
      lessAtLeastZero(Target.OwnPrefillTokens, PrefillTokens);
  auto Dropped = static_cast<std::int64_t>(PrefillTokens);
  this->change(Target, {Now, 0, -1, -Dropped});
}

const std::vector<TargetTable::Slot> &
TargetTable::serving(ModelId Model) const {
  static const std::vector<Slot> None;
  auto Found = this->SlotsOfModel.find(Model);
  return Found == this->SlotsOfModel.end() ? None : Found->second;
}

bool TargetTable::serves(Slot Place, ModelId Model) const {
  if (Place >= this->Entries.size())
    return false;
  const std::vector<ModelId> &Models = this->Entries[Place].Info.Models;
  return std::find(Models.begin(), Models.end(), Model) != Models.end();
}

const TargetTable::Entry *TargetTable::find(TargetId Id) const {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return nullptr;
  return &this->Entries[Known->second];
}

Result<TargetTable::Slot> TargetTable::slotOf(TargetId Id) const {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return make_error_code(RoutingError::UnknownTarget);
  return Known->second;
}

LoadEstimate TargetTable::estimate(Slot Place, TimePoint Now) const {
  const Entry &Target = this->Entries[Place];
  double Hosts = std::max<double>(1, this->Settings.Hosts);
  LoadEstimate Symmetric{Target.OwnRunning * Hosts, Target.OwnWaiting * Hosts,
                         static_cast<double>(Target.OwnPrefillTokens) * Hosts};
  if (!Target.HasReport)
    return Symmetric;
  Duration Age = std::max(Duration::zero(), Now - Target.Report.TakenAt);
  double Peers = 1 + this->Settings.PeerShare * (Hosts - 1);
  LoadEstimate Load{static_cast<double>(Target.Report.Running),
                    static_cast<double>(Target.Report.Waiting),
                    static_cast<double>(Target.Report.WaitingPrefillTokens)};
  for (const Entry::Change &Change : Target.SinceReport) {
    Load.Running += Change.Running * Peers;
    Load.Waiting += Change.Waiting * Peers;
    Load.PrefillTokens += static_cast<double>(Change.PrefillTokens) * Peers;
  }
  double Trust = std::exp(-detail::toSeconds(Age) /
                          detail::toSeconds(this->Settings.ReportDecay));
  auto Blend = [Trust](double Reported, double Own, double AtLeast) {
    return std::max(AtLeast, Trust * Reported + (1 - Trust) * Own);
  };
  return {Blend(Load.Running, Symmetric.Running, Target.OwnRunning),
          Blend(Load.Waiting, Symmetric.Waiting, Target.OwnWaiting),
          Blend(Load.PrefillTokens, Symmetric.PrefillTokens,
                static_cast<double>(Target.OwnPrefillTokens))};
}

double TargetTable::prefillRate(Slot Place) const {
  double Reported = this->Entries[Place].Report.PrefillTokensPerSecond;
  return Reported > 0 ? Reported : this->Settings.AssumedPrefillTokensPerSecond;
}

double TargetTable::decodeRate(Slot Place) const {
  double Reported = this->Entries[Place].Report.DecodeTokensPerSecond;
  return Reported > 0 ? Reported : this->Settings.AssumedDecodeTokensPerSecond;
}

std::uint32_t TargetTable::batchLimit(Slot Place) const {
  std::uint32_t Reported = this->Entries[Place].Report.BatchLimit;
  return Reported > 0 ? Reported : this->Settings.AssumedBatchLimit;
}

std::size_t TargetTable::bytes() const {
  std::size_t Total = this->Entries.capacity() * sizeof(Entry);
  for (const Entry &Target : this->Entries) {
    Total += Target.Info.Models.capacity() * sizeof(ModelId);
    Total += Target.SinceReport.capacity() * sizeof(Entry::Change);
  }
  // Two pointers and the pair for each node of the hash map.
  Total += this->SlotOfTarget.size() *
           (2 * sizeof(void *) + sizeof(TargetId) + sizeof(Slot));
  for (const auto &[Model, Slots] : this->SlotsOfModel)
    Total += Slots.capacity() * sizeof(Slot);
  return Total;
}

void TargetTable::index(Slot Place) {
  for (ModelId Model : this->Entries[Place].Info.Models)
    this->SlotsOfModel[Model].push_back(Place);
}

void TargetTable::unindex(Slot Place) {
  for (ModelId Model : this->Entries[Place].Info.Models) {
    auto Found = this->SlotsOfModel.find(Model);
    std::erase(Found->second, Place);
    if (Found->second.empty())
      this->SlotsOfModel.erase(Found);
  }
}

void TargetTable::change(Entry &Target, Entry::Change Change) {
  std::vector<Entry::Change> &Changes = Target.SinceReport;
  if (Changes.size() < MaxChanges) {
    Changes.push_back(Change);
    return;
  }
  Entry::Change &Last = Changes.back();
  Last.At = Change.At;
  Last.Running += Change.Running;
  Last.Waiting += Change.Waiting;
  Last.PrefillTokens += Change.PrefillTokens;
}

} // namespace bergamothook
