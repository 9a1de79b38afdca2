#include "LibRelay/RequestQuarantine.h"

namespace bergamothook {

RequestQuarantine::RequestQuarantine(std::string Self, QuarantinePolicy Policy)
    : Self(std::move(Self)), Policy(Policy) {}

bool RequestQuarantine::maySend(Hash128 Content, TimePoint Now) const {
  auto Found = this->Entries.find(Content);
  if (Found == this->Entries.end() ||
      Now - Found->second.LastLoss >= this->Policy.Retention)
    return true;
  unsigned Losses = 0;
  for (const auto &[Process, Count] : Found->second.LossesByProcess)
    Losses += Count;
  return Losses < this->Policy.MaxLosses;
}

bool RequestQuarantine::onLost(Hash128 Content, const std::string &Target,
                               TimePoint Now) {
  if (this->isMassFailure(Target, Now))
    return false;
  if (this->Entries.size() >= this->Policy.MaxContents &&
      !this->Entries.contains(Content))
    return false;
  LossRecord &Entry = this->Entries[Content];
  Entry.LastLoss = Now;
  unsigned Losses = ++Entry.LossesByProcess[this->Self];
  this->PendingReports[{Content, this->Self}] = Losses;
  return true;
}

bool RequestQuarantine::isMassFailure(const std::string &Target,
                                      TimePoint Now) {
  std::erase_if(this->LostTargets, [&](const auto &Item) {
    return Now - Item.second >= this->Policy.MassFailureWindow;
  });
  this->LostTargets[Target] = Now;
  return this->LostTargets.size() >= this->Policy.MassFailureTargets;
}

void RequestQuarantine::onAnswered(Hash128 Content) {
  auto Found = this->Entries.find(Content);
  if (Found == this->Entries.end())
    return;
  this->retract(Content, Found->second);
  this->Entries.erase(Found);
}

void RequestQuarantine::retract(Hash128 Content, const LossRecord &Entry) {
  for (const auto &[Process, Count] : Entry.LossesByProcess)
    this->PendingReports[{Content, Process}] = 0;
}

void RequestQuarantine::onReport(const QuarantineReport &Report,
                                 TimePoint Now) {
  if (Report.Losses == 0) {
    auto Found = this->Entries.find(Report.Content);
    if (Found == this->Entries.end())
      return;
    Found->second.LossesByProcess.erase(Report.Process);
    if (Found->second.LossesByProcess.empty())
      this->Entries.erase(Found);
    return;
  }
  if (Report.Process == this->Self)
    return this->republishOwn(Report);
  if (this->Entries.size() >= this->Policy.MaxContents &&
      !this->Entries.contains(Report.Content))
    return;
  LossRecord &Entry = this->Entries[Report.Content];
  Entry.LossesByProcess[Report.Process] = Report.Losses;
  Entry.LastLoss = Now;
}

void RequestQuarantine::republishOwn(const QuarantineReport &Report) {
  unsigned Losses = 0;
  if (auto Found = this->Entries.find(Report.Content);
      Found != this->Entries.end())
    if (auto Own = Found->second.LossesByProcess.find(this->Self);
        Own != Found->second.LossesByProcess.end())
      Losses = Own->second;
  if (Losses != Report.Losses)
    this->PendingReports[{Report.Content, this->Self}] = Losses;
}

void RequestQuarantine::expire(TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Item) {
    bool IsOld = Now - Item.second.LastLoss >= this->Policy.Retention;
    if (IsOld)
      this->retract(Item.first, Item.second);
    return IsOld;
  });
}

std::vector<QuarantineReport> RequestQuarantine::takePendingReports() {
  std::vector<QuarantineReport> Out;
  for (const auto &[Key, Losses] : this->PendingReports)
    Out.push_back({Key.first, Key.second, Losses});
  this->PendingReports.clear();
  return Out;
}

} // namespace bergamothook
