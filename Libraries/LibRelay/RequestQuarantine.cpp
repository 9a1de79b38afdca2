#include "LibRelay/RequestQuarantine.h"

namespace bergamothook {

RequestQuarantine::RequestQuarantine(std::string Self, CrashPolicy Policy)
    : Self(std::move(Self)), Policy(Policy) {}

bool RequestQuarantine::maySend(Hash128 Content, TimePoint Now) const {
  auto Found = this->Known.find(Content);
  if (Found == this->Known.end() ||
      Now - Found->second.LastLoss >= this->Policy.Memory)
    return true;
  unsigned Losses = 0;
  for (const auto &[Process, Count] : Found->second.LossesByProcess)
    Losses += Count;
  return Losses < this->Policy.MaxLosses;
}

void RequestQuarantine::onLost(Hash128 Content, const std::string &Target,
                               TimePoint Now) {
  if (this->isMassFailure(Target, Now))
    return;
  if (this->Known.size() >= this->Policy.MaxContents &&
      !this->Known.contains(Content))
    return;
  Watched &Entry = this->Known[Content];
  Entry.LastLoss = Now;
  unsigned Losses = ++Entry.LossesByProcess[this->Self];
  this->News[{Content, this->Self}] = Losses;
}

bool RequestQuarantine::isMassFailure(const std::string &Target,
                                      TimePoint Now) {
  std::erase_if(this->LostTargets, [&](const auto &Item) {
    return Now - Item.second >= this->Policy.MassWindow;
  });
  this->LostTargets[Target] = Now;
  return this->LostTargets.size() >= this->Policy.MassTargets;
}

void RequestQuarantine::onAnswered(Hash128 Content) {
  auto Found = this->Known.find(Content);
  if (Found == this->Known.end())
    return;
  this->takeBack(Content, Found->second);
  this->Known.erase(Found);
}

void RequestQuarantine::takeBack(Hash128 Content, const Watched &Entry) {
  for (const auto &[Process, Count] : Entry.LossesByProcess)
    this->News[{Content, Process}] = 0;
}

void RequestQuarantine::onReport(const CrashReport &Note, TimePoint Now) {
  if (Note.Losses == 0) {
    auto Found = this->Known.find(Note.Content);
    if (Found == this->Known.end())
      return;
    Found->second.LossesByProcess.erase(Note.Process);
    if (Found->second.LossesByProcess.empty())
      this->Known.erase(Found);
    return;
  }
  if (Note.Process == this->Self)
    return this->correctOwn(Note);
  if (this->Known.size() >= this->Policy.MaxContents &&
      !this->Known.contains(Note.Content))
    return;
  Watched &Entry = this->Known[Note.Content];
  Entry.LossesByProcess[Note.Process] = Note.Losses;
  Entry.LastLoss = Now;
}

void RequestQuarantine::correctOwn(const CrashReport &Note) {
  unsigned Losses = 0;
  if (auto Found = this->Known.find(Note.Content); Found != this->Known.end())
    if (auto Own = Found->second.LossesByProcess.find(this->Self);
        Own != Found->second.LossesByProcess.end())
      Losses = Own->second;
  if (Losses != Note.Losses)
    this->News[{Note.Content, this->Self}] = Losses;
}

void RequestQuarantine::expire(TimePoint Now) {
  std::erase_if(this->Known, [&](const auto &Item) {
    bool IsOld = Now - Item.second.LastLoss >= this->Policy.Memory;
    if (IsOld)
      this->takeBack(Item.first, Item.second);
    return IsOld;
  });
}

std::vector<CrashReport> RequestQuarantine::takePendingReports() {
  std::vector<CrashReport> Out;
  for (const auto &[Key, Losses] : this->News)
    Out.push_back({Key.first, Key.second, Losses});
  this->News.clear();
  return Out;
}

} // namespace bergamothook
