#include "LibRouting/Admission.h"

#include "LibRouting/Seconds.h"

#include <algorithm>

namespace bergamothook {

bool Admission::LaneKey::operator<(const LaneKey &Other) const {
  if (this->Priority != Other.Priority)
    return this->Priority > Other.Priority;
  return this->Class < Other.Class;
}

Admission::Admission(AdmissionSettings Settings)
    : Settings(Settings), Drain(Settings.AssumedCostPerSecond),
      Limit(Settings.Concurrency) {}

Result<TicketId> Admission::admit(const AdmissionRequest &Request,
                                  TimePoint Now) {
  this->expire(Now);
  if (Now + this->expectedWait(Request) > Request.Deadline) {
    ++this->Counts.RefusedLate;
    return make_error_code(RoutingError::DeadlineUnreachable);
  }
  bool IsFull = this->Waiting.size() >= this->Settings.MaxQueued;
  if (IsFull && !this->displaceFor(Request)) {
    ++this->Counts.RefusedFull;
    return make_error_code(RoutingError::QueueFull);
  }
  TicketId Ticket{++this->LastTicket};
  // Memory may run out at each step, and a request must be known to all three
  // containers or to none.
  try {
    this->Waiting.emplace(Ticket, QueuedRequest{Request, Now});
    this->Deadlines.emplace(Request.Deadline, Ticket);
    this->Lanes[laneOf(Request)].Queue.push(workOf(Ticket, Request));
  } catch (...) {
    this->Deadlines.erase({Request.Deadline, Ticket});
    this->Waiting.erase(Ticket);
    throw;
  }
  ++this->Counts.Admitted;
  return Ticket;
}

std::optional<StartedRequest> Admission::next(TimePoint Now,
                                              const StartPredicate &MayStart) {
  this->expire(Now);
  this->Limit.advance(Now);
  auto Selected = this->selectLane();
  if (Selected == this->Lanes.end())
    return std::nullopt;
  TicketId Ticket = Selected->second.Queue.front()->Ticket;
  QueuedRequest Taken = this->Waiting.at(Ticket);
  bool CanStart = this->Limit.permits(this->Running.size()) &&
                  (!MayStart || MayStart(Taken.Request));
  if (!CanStart) {
    this->Drain.blocked(Now);
    return std::nullopt;
  }
  // The only step that needs memory comes first.
  this->Running.emplace(
      Ticket, StartedState{Taken.Request.Class,
                           Taken.Request.FirstTokenTarget.value_or(
                               this->Settings.Concurrency.FirstTokenTarget),
                           Now, Taken.Request.Cost});
  LaneKey Key = Selected->first;
  this->removeWaiting(Ticket);
  this->creditLowerLanes(Key, Taken.Request.Cost);
  this->Drain.started(Taken.Request.Cost, !this->Waiting.empty(), Now);
  ++this->Counts.Started;
  return StartedRequest{Ticket, Taken.Request, Now - Taken.ArrivedAt};
}

void Admission::firstToken(TicketId Ticket, Duration Waited, TimePoint Now) {
  auto Found = this->Running.find(Ticket);
  if (Found == this->Running.end())
    return;
  StartedState &Started = Found->second;
  if (Started.Class == WorkClass::LongDraft)
    return this->answered(Ticket, Now);
  if (Started.IsPutBack)
    this->Drain.resumed(Started.Cost);
  Started.IsPutBack = false;
  this->Limit.observe(Waited > Started.FirstTokenTarget, Started.StartedAt,
                      this->Running.size(), Now);
}

void Admission::answered(TicketId Ticket, TimePoint Now) {
  auto Found = this->Running.find(Ticket);
  if (Found == this->Running.end())
    return;
  StartedState &Started = Found->second;
  if (Started.IsPutBack)
    this->Drain.resumed(Started.Cost);
  Started.IsPutBack = false;
  if (this->Limit.beginsOnDemand())
    this->Limit.observe(false, Started.StartedAt, this->Running.size(), Now);
}

void Admission::targetFull(TicketId Ticket, TimePoint Now) {
  auto Found = this->Running.find(Ticket);
  if (Found == this->Running.end())
    return;
  StartedState &Started = Found->second;
  if (!Started.IsPutBack)
    this->Drain.putBack(Started.Cost);
  Started.IsPutBack = true;
  // This one is not in progress at a target.
  this->Limit.observe(true, Started.StartedAt, this->Running.size() - 1, Now);
}

bool Admission::hasLimit(TimePoint Now) {
  this->Limit.advance(Now);
  return this->Limit.isActive();
}

Result<void> Admission::finish(TicketId Ticket, TimePoint) {
  if (this->Running.erase(Ticket) == 0)
    return make_error_code(RoutingError::UnknownTicket);
  ++this->Counts.Finished;
  return success();
}

Result<void> Admission::abandon(TicketId Ticket, TimePoint) {
  if (!this->Waiting.contains(Ticket))
    return make_error_code(RoutingError::UnknownTicket);
  this->removeWaiting(Ticket);
  ++this->Counts.Abandoned;
  return success();
}

std::vector<RefusedRequest> Admission::takeRefused(TimePoint Now) {
  this->expire(Now);
  std::vector<RefusedRequest> Taken;
  Taken.swap(this->Refused);
  return Taken;
}

std::optional<TimePoint> Admission::nextDeadline() const {
  if (this->Deadlines.empty())
    return std::nullopt;
  return this->Deadlines.begin()->first;
}

Duration Admission::expectedWait(const AdmissionRequest &Request) const {
  LaneKey Key = laneOf(Request);
  double HigherLaneCost = this->costOfHigherLanes(Key);
  auto Found = this->Lanes.find(Key);
  double SameLaneCost = 0;
  if (Found != this->Lanes.end() && !Found->second.Queue.empty())
    SameLaneCost =
        Found->second.Queue.costUntilDone(workOf({}, Request)) - Request.Cost;
  double Rate = this->Drain.perSecond();
  double Share = this->Settings.LowerLaneShare;
  double WaitAtRemainingShare =
      (HigherLaneCost + SameLaneCost) / (Rate * (1 - Share));
  // The share reserved for lower lanes bounds the wait behind higher ones.
  double WaitAtLowerLaneShare =
      HigherLaneCost > 0 ? (SameLaneCost + Request.Cost) / (Rate * Share)
                         : WaitAtRemainingShare;
  return detail::fromSeconds(
      std::min(WaitAtRemainingShare, WaitAtLowerLaneShare));
}

Duration Admission::retryAfter(const AdmissionRequest &Request,
                               TimePoint Now) const {
  Duration TimeLeft = std::max(Duration::zero(), Request.Deadline - Now);
  Duration ExcessWait = this->expectedWait(Request) - TimeLeft;
  return std::clamp(ExcessWait, this->Settings.MinRetryAfter,
                    this->Settings.MaxRetryAfter);
}

Admission::LaneKey Admission::laneOf(const AdmissionRequest &Request) {
  return {Request.Priority, Request.Class};
}

QueuedWork Admission::workOf(TicketId Ticket, const AdmissionRequest &Request) {
  return {Ticket, Request.Team, Request.Weight, Request.Cost};
}

void Admission::expire(TimePoint Now) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first < Now) {
    ++this->Counts.Expired;
    this->refuse(this->Deadlines.begin()->second, RoutingError::DeadlinePassed);
  }
}

bool Admission::displaceFor(const AdmissionRequest &Request) {
  LaneKey Key = laneOf(Request);
  for (auto Last = this->Lanes.rbegin(); Last != this->Lanes.rend(); ++Last) {
    if (Last->first < Key)
      return false;
    std::optional<QueuedWork> Victim = Last->second.Queue.newestOfLargestTeam();
    if (!Victim)
      continue;
    bool IsLowerLane = Key < Last->first;
    double OwnWeightedCost = Last->second.Queue.weightedCost(Request.Team) +
                             Request.Cost / Request.Weight;
    if (!IsLowerLane &&
        Last->second.Queue.weightedCost(Victim->Team) <= OwnWeightedCost)
      return false;
    ++this->Counts.Displaced;
    this->refuse(Victim->Ticket, RoutingError::Displaced);
    return true;
  }
  return false;
}

void Admission::refuse(TicketId Ticket, RoutingError Reason) {
  const AdmissionRequest Request = this->Waiting.at(Ticket).Request;
  this->removeWaiting(Ticket);
  Duration RetryAfter =
      std::clamp(this->expectedWait(Request), this->Settings.MinRetryAfter,
                 this->Settings.MaxRetryAfter);
  this->Refused.push_back({Ticket, Request.Request, Reason, RetryAfter});
}

void Admission::removeWaiting(TicketId Ticket) {
  auto Found = this->Waiting.find(Ticket);
  const AdmissionRequest &Request = Found->second.Request;
  FairQueue &Queue = this->Lanes.at(laneOf(Request)).Queue;
  if (Queue.front()->Ticket == Ticket)
    Queue.pop();
  else
    Queue.remove(workOf(Ticket, Request));
  this->Deadlines.erase({Request.Deadline, Ticket});
  this->Waiting.erase(Found);
}

std::map<Admission::LaneKey, Admission::Lane>::iterator
Admission::selectLane() {
  auto First = this->Lanes.end();
  for (auto At = this->Lanes.begin(); At != this->Lanes.end(); ++At) {
    Lane &Candidate = At->second;
    if (Candidate.Queue.empty()) {
      Candidate.Credit = 0;
      continue;
    }
    if (First == this->Lanes.end())
      First = At;
    else if (Candidate.Credit >= Candidate.Queue.front()->Cost)
      return At;
  }
  return First;
}

void Admission::creditLowerLanes(const LaneKey &Served, double Cost) {
  std::size_t WaitingLowerLanes = 0;
  for (auto &[Key, Candidate] : this->Lanes)
    if (Served < Key && !Candidate.Queue.empty())
      ++WaitingLowerLanes;
  double Share = this->Settings.LowerLaneShare;
  double CreditEarned = Cost * Share / (1 - Share);
  for (auto &[Key, Candidate] : this->Lanes) {
    bool IsWaitingLowerLane = Served < Key && !Candidate.Queue.empty();
    if (IsWaitingLowerLane)
      Candidate.Credit += CreditEarned / static_cast<double>(WaitingLowerLanes);
  }
  Lane &Started = this->Lanes.at(Served);
  Started.Credit = std::max(0.0, Started.Credit - Cost);
}

double Admission::costOfHigherLanes(const LaneKey &Key) const {
  double Sum = 0;
  for (const auto &[Other, Candidate] : this->Lanes)
    if (Other < Key)
      Sum += Candidate.Queue.cost();
  return Sum;
}

} // namespace bergamothook
