#include "LibRelayFront/StopPlan.h"

#include <algorithm>

namespace bergamothook {

void StopPlan::begin(Duration Grace, TimePoint Now) {
  if (this->StartedAt)
    return;
  this->StartedAt = Now;
  Duration MaxPart = Grace / this->Policy.GraceDivisor;
  this->ExitDeadline = Now + Grace - std::min(this->Policy.Reserve, MaxPart);
  this->AnswerDeadline =
      this->ExitDeadline -
      std::clamp(MaxPart, this->Policy.MinAnswerTime, this->Policy.AnswerTime);
}

bool StopPlan::accepts(TimePoint Deadline, bool MayRepeat,
                       TimePoint Now) const {
  if (!this->StartedAt || Deadline <= this->AnswerDeadline)
    return true;
  return MayRepeat && !this->mustAnswer(Now) &&
         Now < *this->StartedAt + this->Policy.BalancerDelay;
}

bool StopPlan::maySend(TimePoint Deadline, bool MayRepeat) const {
  return MayRepeat || Deadline <= this->AnswerDeadline;
}

TimePoint StopPlan::idleDeadline(std::optional<TimePoint> OpenedAt) const {
  TimePoint End = *this->StartedAt + this->Policy.IdleGrace;
  if (OpenedAt)
    End = std::max(End, *OpenedAt + this->Policy.FirstRequestGrace);
  return std::min(End, this->AnswerDeadline);
}

bool StopPlan::mayExit(std::size_t InProgress, std::size_t Connections,
                       TimePoint Now) const {
  if (!this->StartedAt)
    return false;
  return Now >= this->ExitDeadline ||
         (InProgress == 0 && Connections == 0 &&
          Now >= *this->StartedAt + this->Policy.BalancerDelay);
}

} // namespace bergamothook
