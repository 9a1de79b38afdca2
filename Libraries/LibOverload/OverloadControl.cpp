#include "LibOverload/OverloadControl.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

namespace {

/// The next attempt of a caller reaches another host, so it may come at once,
/// but not all of them together.
constexpr Duration BaseRetryAfter = std::chrono::milliseconds(200);

/// \returns the fraction of \p Limit that \p Used is; 0 without a limit.
double fractionOf(double Used, double Limit) {
  return Limit > 0 ? Used / Limit : 0;
}

} // namespace

OverloadControl::OverloadControl(OverloadPolicy Policy, HostCapacity Capacity,
                                 std::uint64_t Seed)
    : Policy(Policy), Capacity(Capacity), Rng(Seed),
      Shedder(Policy.Shedder, Seed + 1),
      Thresholds{Policy.Link, Policy.Link, Policy.Processor, Policy.Descriptors,
                 Policy.Memory} {
  double Factor = 1 - Policy.ThresholdJitter * this->Rng.uniform();
  for (ResourceThresholds &Each : this->Thresholds) {
    Each.OverloadedAbove *= Factor;
    Each.RelievedBelow *= Factor;
  }
}

OverloadControl::PerResource OverloadControl::measure(const HostUsage &Usage,
                                                      Duration Elapsed) const {
  double Seconds = std::chrono::duration<double>(Elapsed).count();
  double LinkBytes = this->Capacity.LinkBytesPerSecond * Seconds;
  std::chrono::duration<double> ProcessorTime =
      Usage.ProcessorTime - this->Last.ProcessorTime;
  return {
      fractionOf(
          static_cast<double>(Usage.BytesReceived - this->Last.BytesReceived),
          LinkBytes),
      fractionOf(static_cast<double>(Usage.BytesSent - this->Last.BytesSent),
                 LinkBytes),
      fractionOf(ProcessorTime.count(),
                 this->Capacity.ProcessorCores * Seconds),
      fractionOf(static_cast<double>(Usage.Descriptors),
                 static_cast<double>(this->Capacity.Descriptors)),
      fractionOf(static_cast<double>(Usage.MessageBytes),
                 static_cast<double>(this->Capacity.MessageBytes))};
}

void OverloadControl::update(const HostUsage &Usage, TimePoint Now) {
  if (this->LastAt && Now > *this->LastAt) {
    Duration Elapsed = Now - *this->LastAt;
    PerResource Measured = this->measure(Usage, Elapsed);
    std::chrono::duration<double> Span = Elapsed;
    double Weight = 1 - std::exp(-(Span / this->Policy.Smoothing));
    for (std::size_t I = 0; I < HostResourceCount; ++I)
      this->Utilization[I] += Weight * (Measured[I] - this->Utilization[I]);
    this->Shedder.update(this->linkUtilization());
    this->decide(Now);
    this->planMoves(Usage.CallerConnections, Elapsed);
  }
  this->Last = Usage;
  this->LastAt = Now;
}

double OverloadControl::linkUtilization() const {
  return std::max(this->utilization(HostResource::LinkReceive),
                  this->utilization(HostResource::LinkSend));
}

void OverloadControl::decide(TimePoint Now) {
  bool IsRelieved = true;
  for (std::size_t I = 0; I < HostResourceCount; ++I) {
    IsRelieved &= this->Utilization[I] < this->Thresholds[I].RelievedBelow;
    if (this->OverloadedBy ||
        this->Utilization[I] <= this->Thresholds[I].OverloadedAbove)
      continue;
    this->OverloadedBy = static_cast<HostResource>(I);
    this->OverloadedAt = Now;
    this->ExtraTime = std::chrono::duration_cast<Duration>(
        this->Rng.uniform() * this->Policy.MaxExtraTime);
  }
  if (!IsRelieved)
    this->RelievedSince.reset();
  else if (!this->RelievedSince)
    this->RelievedSince = Now;
  if (this->OverloadedBy && this->RelievedSince &&
      Now - this->OverloadedAt >= this->Policy.MinNotReady + this->ExtraTime &&
      Now - *this->RelievedSince >= this->Policy.RelievedFor)
    this->OverloadedBy.reset();
}

void OverloadControl::planMoves(std::size_t Connections, Duration Elapsed) {
  auto Resource = static_cast<std::size_t>(
      this->OverloadedBy.value_or(HostResource::LinkReceive));
  double Used = this->Utilization[Resource];
  // No more than necessary: what remains stays while the host is not ready, and
  // the siblings that follow get less and less.
  if (!this->OverloadedBy ||
      Used <= this->Thresholds[Resource].OverloadedAbove) {
    this->PendingMoves = 0;
    return;
  }
  // Connections that were due and had no answer since are not added up.
  this->PendingMoves -= std::floor(this->PendingMoves);
  this->PendingMoves += this->Policy.MovedPerSecond / Used *
                        static_cast<double>(Connections) *
                        std::chrono::duration<double>(Elapsed).count();
}

bool OverloadControl::endsConnection() {
  if (this->PendingMoves < 1)
    return false;
  this->PendingMoves -= 1;
  return true;
}

std::optional<Duration> OverloadControl::refuse(const CallDemand &Call,
                                                TimePoint Now) {
  if (this->Shedder.admit(Call, Now))
    return std::nullopt;
  return this->Rng.jitter(BaseRetryAfter);
}

} // namespace bergamothook
