#include "LibRouting/FairQueue.h"

#include <algorithm>

namespace bergamothook {

void FairQueue::push(const QueuedWork &Work) {
  TeamQueue &Team = this->Teams[Work.Team];
  if (Team.Works.empty()) {
    Team.Weight = Work.Weight;
    Team.Start = std::max(Team.Start, this->VirtualTime);
    this->Weights += Team.Weight;
    this->Order.emplace(Team.Start, Work.Team);
  }
  Team.Works.push_back(Work);
  Team.Cost += Work.Cost;
  this->charge(Work.Cost);
  ++this->Count;
}

std::optional<QueuedWork> FairQueue::front() const {
  if (this->Order.empty())
    return std::nullopt;
  return this->Teams.at(this->Order.begin()->second).Works.front();
}

QueuedWork FairQueue::pop() {
  auto [Start, Id] = *this->Order.begin();
  this->Order.erase(this->Order.begin());
  TeamQueue &Team = this->Teams[Id];
  QueuedWork Work = Team.Works.front();
  Team.Works.pop_front();
  Team.Cost -= Work.Cost;
  this->VirtualTime = Start;
  Team.Start = Start + Work.Cost / Team.Weight;
  this->charge(-Work.Cost);
  --this->Count;
  if (!Team.Works.empty())
    this->Order.emplace(Team.Start, Id);
  this->forgetIfEmpty(Id);
  return Work;
}

bool FairQueue::remove(const QueuedWork &Work) {
  auto Found = this->Teams.find(Work.Team);
  if (Found == this->Teams.end())
    return false;
  TeamQueue &Team = Found->second;
  auto Place = std::find_if(
      Team.Works.begin(), Team.Works.end(),
      [&](const QueuedWork &Other) { return Other.Ticket == Work.Ticket; });
  if (Place == Team.Works.end())
    return false;
  Team.Works.erase(Place);
  Team.Cost -= Work.Cost;
  this->charge(-Work.Cost);
  --this->Count;
  if (Team.Works.empty())
    this->Order.erase({Team.Start, Work.Team});
  this->forgetIfEmpty(Work.Team);
  return true;
}

std::optional<QueuedWork> FairQueue::newestOfLargest() const {
  const TeamQueue *Largest = nullptr;
  for (const auto &[Start, Id] : this->Order) {
    const TeamQueue &Team = this->Teams.at(Id);
    bool IsLarger =
        !Largest || Team.Cost / Team.Weight > Largest->Cost / Largest->Weight;
    if (IsLarger)
      Largest = &Team;
  }
  if (!Largest)
    return std::nullopt;
  return Largest->Works.back();
}

double FairQueue::held(TeamId Team) const {
  auto Found = this->Teams.find(Team);
  if (Found == this->Teams.end())
    return 0;
  return Found->second.Cost / Found->second.Weight;
}

double FairQueue::workUntilDone(const QueuedWork &Work) const {
  auto Found = this->Teams.find(Work.Team);
  bool IsWaiting = Found != this->Teams.end() && !Found->second.Works.empty();
  double Own = Work.Cost + (IsWaiting ? Found->second.Cost : 0);
  double Weights = this->Weights + (IsWaiting ? 0 : Work.Weight);
  double AtFairShare = Own * Weights / Work.Weight;
  return std::min(this->Cost + Work.Cost, AtFairShare);
}

void FairQueue::forgetIfEmpty(TeamId Id) {
  auto Found = this->Teams.find(Id);
  if (!Found->second.Works.empty())
    return;
  this->Weights -= Found->second.Weight;
  // A team that is ahead of its share keeps its place until the others have
  // caught up, or it would gain by letting its queue run empty.
  if (this->Order.empty())
    this->Teams.clear();
  else if (Found->second.Start <= this->VirtualTime)
    this->Teams.erase(Found);
  if (this->Order.empty()) {
    this->VirtualTime = 0;
    this->Weights = 0;
  }
}

void FairQueue::charge(double Change) {
  this->Cost = std::max(0.0, this->Cost + Change);
}

} // namespace bergamothook
