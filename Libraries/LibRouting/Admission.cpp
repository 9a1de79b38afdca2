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
  if (IsFull && !this->makeRoom(Request)) {
    ++this->Counts.RefusedFull;
    return make_error_code(RoutingError::QueueFull);
  }
  TicketId Ticket{++this->LastTicket};
  this->Lanes[laneOf(Request)].Queue.push(workOf(Ticket, Request));
  this->Waiting.emplace(Ticket, Item{Request, Now});
  this->Deadlines.emplace(Request.Deadline, Ticket);
  ++this->Counts.Admitted;
  return Ticket;
}

std::optional<StartedRequest> Admission::next(TimePoint Now,
                                              const Fits &IsFitting) {
  this->expire(Now);
  auto Picked = this->pickLane();
  if (Picked == this->Lanes.end())
    return std::nullopt;
  TicketId Ticket = Picked->second.Queue.front()->Ticket;
  Item Taken = this->Waiting.at(Ticket);
  bool CanStart = this->Limit.permits(this->Running.size()) &&
                  (!IsFitting || IsFitting(Taken.Request));
  if (!CanStart) {
    this->Drain.blocked(Now);
    return std::nullopt;
  }
  LaneKey Key = Picked->first;
  this->takeOut(Ticket);
  this->creditPassedOver(Key, Taken.Request.Cost);
  this->Drain.started(Taken.Request.Cost, !this->Waiting.empty(), Now);
  this->Running.emplace(Ticket, Taken.Request.Class);
  ++this->Counts.Started;
  return StartedRequest{Ticket, Taken.Request, Now - Taken.Arrived};
}

void Admission::firstToken(TicketId Ticket, Duration Waited, TimePoint Now) {
  auto Found = this->Running.find(Ticket);
  bool IsUrgent =
      Found != this->Running.end() && Found->second != WorkClass::LongDraft;
  if (IsUrgent)
    this->Limit.firstToken(Waited, Now);
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
  this->takeOut(Ticket);
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
  double Before = this->workBefore(Key);
  auto Found = this->Lanes.find(Key);
  double Own = 0;
  if (Found != this->Lanes.end() && !Found->second.Queue.empty())
    Own = Found->second.Queue.workUntilDone(workOf({}, Request)) - Request.Cost;
  double Rate = this->Drain.perSecond();
  double Share = this->Settings.PassedOverShare;
  double Shared = (Before + Own) / (Rate * (1 - Share));
  // The share of what is passed over bounds the wait behind other lanes.
  double Bounded = Before > 0 ? (Own + Request.Cost) / (Rate * Share) : Shared;
  return detail::fromSeconds(std::min(Shared, Bounded));
}

Duration Admission::retryAfter(const AdmissionRequest &Request,
                               TimePoint Now) const {
  Duration Slack = std::max(Duration::zero(), Request.Deadline - Now);
  Duration TooLong = this->expectedWait(Request) - Slack;
  return std::clamp(TooLong, this->Settings.MinRetryAfter,
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

bool Admission::makeRoom(const AdmissionRequest &Request) {
  LaneKey Key = laneOf(Request);
  for (auto Last = this->Lanes.rbegin(); Last != this->Lanes.rend(); ++Last) {
    if (Last->first < Key)
      return false;
    std::optional<QueuedWork> Victim = Last->second.Queue.newestOfLargest();
    if (!Victim)
      continue;
    bool IsBehind = Key < Last->first;
    double OwnHeld =
        Last->second.Queue.held(Request.Team) + Request.Cost / Request.Weight;
    if (!IsBehind && Last->second.Queue.held(Victim->Team) <= OwnHeld)
      return false;
    ++this->Counts.Displaced;
    this->refuse(Victim->Ticket, RoutingError::Displaced);
    return true;
  }
  return false;
}

void Admission::refuse(TicketId Ticket, RoutingError Reason) {
  const AdmissionRequest Request = this->Waiting.at(Ticket).Request;
  this->takeOut(Ticket);
  Duration RetryAfter =
      std::clamp(this->expectedWait(Request), this->Settings.MinRetryAfter,
                 this->Settings.MaxRetryAfter);
  this->Refused.push_back({Ticket, Request.Request, Reason, RetryAfter});
}

void Admission::takeOut(TicketId Ticket) {
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

std::map<Admission::LaneKey, Admission::Lane>::iterator Admission::pickLane() {
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

void Admission::creditPassedOver(const LaneKey &Served, double Cost) {
  std::size_t PassedOver = 0;
  for (auto &[Key, Candidate] : this->Lanes)
    if (Served < Key && !Candidate.Queue.empty())
      ++PassedOver;
  double Share = this->Settings.PassedOverShare;
  double Earned = Cost * Share / (1 - Share);
  for (auto &[Key, Candidate] : this->Lanes) {
    bool IsPassedOver = Served < Key && !Candidate.Queue.empty();
    if (IsPassedOver)
      Candidate.Credit += Earned / static_cast<double>(PassedOver);
  }
  Lane &Started = this->Lanes.at(Served);
  Started.Credit = std::max(0.0, Started.Credit - Cost);
}

double Admission::workBefore(const LaneKey &Key) const {
  double Sum = 0;
  for (const auto &[Other, Candidate] : this->Lanes)
    if (Other < Key)
      Sum += Candidate.Queue.cost();
  return Sum;
}

} // namespace bergamothook
