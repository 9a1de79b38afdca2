#include "LibRouting/FairQueue.h"

#include <algorithm>

namespace bergamothook {

void FairQueue::push(const QueuedWork &Work) {
  TeamQueue &Team = this->Teams[Work.Team];
  // Memory may run out at either insertion; neither may remain alone.
  Team.Items.push_back(Work);
  if (Team.Items.size() == 1) {
    Team.Weight = Work.Weight;
    Team.VirtualStart = std::max(Team.VirtualStart, this->VirtualTime);
    try {
      this->TeamsByStart.emplace(Team.VirtualStart, Work.Team);
    } catch (...) {
      Team.Items.pop_back();
      throw;
    }
    this->TotalWeight += Team.Weight;
  }
  Team.Cost += Work.Cost;
  this->adjustCost(Work.Cost);
  ++this->Count;
}

std::optional<QueuedWork> FairQueue::front() const {
  if (this->TeamsByStart.empty())
    return std::nullopt;
  return this->Teams.at(this->TeamsByStart.begin()->second).Items.front();
}

QueuedWork FairQueue::pop() {
  // The entry is reused, so that nothing here needs memory.
  auto Entry = this->TeamsByStart.extract(this->TeamsByStart.begin());
  auto [VirtualStart, Id] = Entry.value();
  TeamQueue &Team = this->Teams.at(Id);
  QueuedWork Work = Team.Items.front();
  Team.Items.pop_front();
  Team.Cost -= Work.Cost;
  this->VirtualTime = VirtualStart;
  Team.VirtualStart = VirtualStart + Work.Cost / Team.Weight;
  this->adjustCost(-Work.Cost);
  --this->Count;
  if (!Team.Items.empty()) {
    Entry.value() = {Team.VirtualStart, Id};
    this->TeamsByStart.insert(std::move(Entry));
  }
  this->removeTeamIfEmpty(Id);
  return Work;
}

bool FairQueue::remove(const QueuedWork &Work) {
  auto Found = this->Teams.find(Work.Team);
  if (Found == this->Teams.end())
    return false;
  TeamQueue &Team = Found->second;
  auto Position = std::find_if(
      Team.Items.begin(), Team.Items.end(),
      [&](const QueuedWork &Other) { return Other.Ticket == Work.Ticket; });
  if (Position == Team.Items.end())
    return false;
  Team.Items.erase(Position);
  Team.Cost -= Work.Cost;
  this->adjustCost(-Work.Cost);
  --this->Count;
  if (Team.Items.empty())
    this->TeamsByStart.erase({Team.VirtualStart, Work.Team});
  this->removeTeamIfEmpty(Work.Team);
  return true;
}

std::optional<QueuedWork> FairQueue::newestOfLargestTeam() const {
  const TeamQueue *Largest = nullptr;
  for (const auto &[VirtualStart, Id] : this->TeamsByStart) {
    const TeamQueue &Team = this->Teams.at(Id);
    bool IsLarger =
        !Largest || Team.Cost / Team.Weight > Largest->Cost / Largest->Weight;
    if (IsLarger)
      Largest = &Team;
  }
  if (!Largest)
    return std::nullopt;
  return Largest->Items.back();
}

double FairQueue::weightedCost(TeamId Team) const {
  auto Found = this->Teams.find(Team);
  if (Found == this->Teams.end())
    return 0;
  return Found->second.Cost / Found->second.Weight;
}

double FairQueue::costUntilDone(const QueuedWork &Work) const {
  auto Found = this->Teams.find(Work.Team);
  bool IsWaiting = Found != this->Teams.end() && !Found->second.Items.empty();
  double TeamCost = Work.Cost + (IsWaiting ? Found->second.Cost : 0);
  double WeightWithTeam = this->TotalWeight + (IsWaiting ? 0 : Work.Weight);
  double CostAtFairShare = TeamCost * WeightWithTeam / Work.Weight;
  return std::min(this->Cost + Work.Cost, CostAtFairShare);
}

void FairQueue::removeTeamIfEmpty(TeamId Id) {
  auto Found = this->Teams.find(Id);
  if (!Found->second.Items.empty())
    return;
  this->TotalWeight -= Found->second.Weight;
  // A team that has used more than its share keeps its virtual start time until
  // the others have caught up; otherwise it would gain by emptying its queue.
  if (this->TeamsByStart.empty())
    this->Teams.clear();
  else if (Found->second.VirtualStart <= this->VirtualTime)
    this->Teams.erase(Found);
  if (this->TeamsByStart.empty()) {
    this->VirtualTime = 0;
    this->TotalWeight = 0;
  }
}

void FairQueue::adjustCost(double Delta) {
  this->Cost = std::max(0.0, this->Cost + Delta);
}

} // namespace bergamothook
