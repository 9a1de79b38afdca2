#include "LibRouting/TargetTable.h"

#include "LibRouting/RoutingError.h"
#include "LibRouting/Seconds.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace bergamothook {

namespace {

/// The maximum number of changes kept since the last report; later ones are
/// merged into the newest.
constexpr std::size_t MaxDeltas = 64;

template <typename Number>
Number saturatingSubtract(Number Value, Number Subtrahend) {
  return Value > Subtrahend ? Value - Subtrahend : Number{0};
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
  Slot SlotIndex = static_cast<Slot>(this->Entries.size());
  if (this->FreeSlots.empty()) {
    this->Entries.emplace_back();
  } else {
    SlotIndex = this->FreeSlots.back();
    this->FreeSlots.pop_back();
    this->Entries[SlotIndex] = Entry();
  }
  Entry &Target = this->Entries[SlotIndex];
  Target.Info = Info;
  Target.IsUsed = true;
  Target.JoinedAt = Now;
  this->SlotOfTarget.emplace(Info.Id, SlotIndex);
  this->index(SlotIndex);
}

void TargetTable::remove(TargetId Id) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Slot SlotIndex = Known->second;
  this->unindex(SlotIndex);
  this->Entries[SlotIndex] = Entry();
  this->FreeSlots.push_back(SlotIndex);
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
  std::erase_if(Target.DeltasSinceReport, [&](const Entry::LoadDelta &Delta) {
    return Delta.At <= Report.TakenAt;
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
  this->recordDelta(Target, {Now, 0, 1, Added});
}

void TargetTable::firstToken(TargetId Id, std::uint64_t PrefillTokens,
                             TimePoint Now) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Entry &Target = this->Entries[Known->second];
  Target.OwnWaiting = saturatingSubtract(Target.OwnWaiting, 1U);
  Target.OwnRunning += 1;
  Target.OwnPrefillTokens =
      saturatingSubtract(Target.OwnPrefillTokens, PrefillTokens);
  auto Computed = static_cast<std::int64_t>(PrefillTokens);
  this->recordDelta(Target, {Now, 1, -1, -Computed});
}

void TargetTable::finished(TargetId Id, std::uint64_t PrefillTokens,
                           bool HadFirstToken, TimePoint Now) {
  auto Known = this->SlotOfTarget.find(Id);
  if (Known == this->SlotOfTarget.end())
    return;
  Entry &Target = this->Entries[Known->second];
  if (HadFirstToken) {
    Target.OwnRunning = saturatingSubtract(Target.OwnRunning, 1U);
    this->recordDelta(Target, {Now, -1, 0, 0});
    return;
  }
  Target.OwnWaiting = saturatingSubtract(Target.OwnWaiting, 1U);
  Target.OwnPrefillTokens =
      saturatingSubtract(Target.OwnPrefillTokens, PrefillTokens);
  auto Dropped = static_cast<std::int64_t>(PrefillTokens);
  this->recordDelta(Target, {Now, 0, -1, -Dropped});
}

const std::vector<TargetTable::Slot> &
TargetTable::serving(ModelId Model) const {
  static const std::vector<Slot> NoSlots;
  auto Found = this->SlotsOfModel.find(Model);
  return Found == this->SlotsOfModel.end() ? NoSlots : Found->second;
}

bool TargetTable::serves(Slot SlotIndex, ModelId Model) const {
  if (SlotIndex >= this->Entries.size())
    return false;
  const std::vector<ModelId> &Models = this->Entries[SlotIndex].Info.Models;
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

LoadEstimate TargetTable::estimate(Slot SlotIndex, TimePoint Now) const {
  const Entry &Target = this->Entries[SlotIndex];
  double Hosts = std::max<double>(1, this->Settings.Hosts);
  LoadEstimate OwnTimesHosts{
      Target.OwnRunning * Hosts, Target.OwnWaiting * Hosts,
      static_cast<double>(Target.OwnPrefillTokens) * Hosts};
  if (!Target.HasReport)
    return OwnTimesHosts;
  Duration Age = std::max(Duration::zero(), Now - Target.Report.TakenAt);
  double HostFactor = 1 + this->Settings.PeerShare * (Hosts - 1);
  LoadEstimate Load{static_cast<double>(Target.Report.Running),
                    static_cast<double>(Target.Report.Waiting),
                    static_cast<double>(Target.Report.WaitingPrefillTokens)};
  for (const Entry::LoadDelta &Delta : Target.DeltasSinceReport) {
    Load.Running += Delta.Running * HostFactor;
    Load.Waiting += Delta.Waiting * HostFactor;
    Load.PrefillTokens += static_cast<double>(Delta.PrefillTokens) * HostFactor;
  }
  double ReportWeight = std::exp(-detail::toSeconds(Age) /
                                 detail::toSeconds(this->Settings.ReportDecay));
  auto Blend = [ReportWeight](double Reported, double Own, double Min) {
    return std::max(Min, ReportWeight * Reported + (1 - ReportWeight) * Own);
  };
  return {Blend(Load.Running, OwnTimesHosts.Running, Target.OwnRunning),
          Blend(Load.Waiting, OwnTimesHosts.Waiting, Target.OwnWaiting),
          Blend(Load.PrefillTokens, OwnTimesHosts.PrefillTokens,
                static_cast<double>(Target.OwnPrefillTokens))};
}

double TargetTable::prefillRate(Slot SlotIndex) const {
  double Reported = this->Entries[SlotIndex].Report.PrefillTokensPerSecond;
  return Reported > 0 ? Reported : this->Settings.AssumedPrefillTokensPerSecond;
}

double TargetTable::decodeRate(Slot SlotIndex) const {
  double Reported = this->Entries[SlotIndex].Report.DecodeTokensPerSecond;
  return Reported > 0 ? Reported : this->Settings.AssumedDecodeTokensPerSecond;
}

std::uint32_t TargetTable::batchLimit(Slot SlotIndex) const {
  std::uint32_t Reported = this->Entries[SlotIndex].Report.BatchLimit;
  return Reported > 0 ? Reported : this->Settings.AssumedBatchLimit;
}

std::size_t TargetTable::bytes() const {
  std::size_t Total = this->Entries.capacity() * sizeof(Entry);
  for (const Entry &Target : this->Entries) {
    Total += Target.Info.Models.capacity() * sizeof(ModelId);
    Total += Target.DeltasSinceReport.capacity() * sizeof(Entry::LoadDelta);
  }
  // Each node of the hash map holds two pointers and the pair.
  Total += this->SlotOfTarget.size() *
           (2 * sizeof(void *) + sizeof(TargetId) + sizeof(Slot));
  for (const auto &[Model, Slots] : this->SlotsOfModel)
    Total += Slots.capacity() * sizeof(Slot);
  return Total;
}

void TargetTable::index(Slot SlotIndex) {
  for (ModelId Model : this->Entries[SlotIndex].Info.Models)
    this->SlotsOfModel[Model].push_back(SlotIndex);
}

void TargetTable::unindex(Slot SlotIndex) {
  for (ModelId Model : this->Entries[SlotIndex].Info.Models) {
    auto Found = this->SlotsOfModel.find(Model);
    std::erase(Found->second, SlotIndex);
    if (Found->second.empty())
      this->SlotsOfModel.erase(Found);
  }
}

void TargetTable::recordDelta(Entry &Target, Entry::LoadDelta Delta) {
  std::vector<Entry::LoadDelta> &Deltas = Target.DeltasSinceReport;
  if (Deltas.size() < MaxDeltas) {
    Deltas.push_back(Delta);
    return;
  }
  Entry::LoadDelta &Last = Deltas.back();
  Last.At = Delta.At;
  Last.Running += Delta.Running;
  Last.Waiting += Delta.Waiting;
  Last.PrefillTokens += Delta.PrefillTokens;
}

} // namespace bergamothook
