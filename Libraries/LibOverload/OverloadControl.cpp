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

/// \returns the weight of a measurement over \p Elapsed in a moving average.
double weightOf(Duration Elapsed, Duration TimeConstant) {
  std::chrono::duration<double> Span = Elapsed;
  return 1 - std::exp(-(Span / TimeConstant));
}

constexpr std::size_t indexOf(HostResource Resource) {
  return static_cast<std::size_t>(Resource);
}

} // namespace

OverloadControl::OverloadControl(OverloadPolicy Policy, HostCapacity Capacity,
                                 std::uint64_t Seed)
    : Policy(Policy), Capacity(Capacity), Rng(Seed),
      Shedder(Policy.Shedder, Seed + 1),
      Thresholds{Policy.Link, Policy.Link, Policy.Descriptors, Policy.Memory} {
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
  return {
      fractionOf(
          static_cast<double>(Usage.BytesReceived - this->Last.BytesReceived),
          LinkBytes),
      fractionOf(static_cast<double>(Usage.BytesSent - this->Last.BytesSent),
                 LinkBytes),
      fractionOf(static_cast<double>(Usage.Descriptors),
                 static_cast<double>(this->Capacity.Descriptors)),
      fractionOf(static_cast<double>(Usage.MessageBytes),
                 static_cast<double>(this->Capacity.MessageBytes))};
}

OverloadControl::PerResource
OverloadControl::measureOwn(const HostUsage &Usage, Duration Elapsed) const {
  double LinkBytes = this->Capacity.LinkBytesPerSecond *
                     std::chrono::duration<double>(Elapsed).count();
  PerResource Own{};
  Own[indexOf(HostResource::LinkReceive)] = fractionOf(
      static_cast<double>(Usage.OwnBytesReceived - this->Last.OwnBytesReceived),
      LinkBytes);
  Own[indexOf(HostResource::LinkSend)] = fractionOf(
      static_cast<double>(Usage.OwnBytesSent - this->Last.OwnBytesSent),
      LinkBytes);
  return Own;
}

void OverloadControl::excludeOwn(PerResource &Measured, const PerResource &Own,
                                 Duration Elapsed) {
  // A full direction holds back both: a request that waits has no answer.
  bool IsFull = false;
  double HoldsBack = 0;
  for (HostResource Direction : LinkDirections) {
    std::size_t I = indexOf(Direction);
    if (Measured[I] <= this->Policy.LinkFullAbove)
      continue;
    IsFull = true;
    HoldsBack = std::max(HoldsBack, Own[I]);
  }
  for (HostResource Direction : LinkDirections) {
    std::size_t I = indexOf(Direction);
    if (!IsFull)
      this->HeldBack[I] *= 1 - weightOf(Elapsed, this->Policy.Smoothing);
    double Left = 1 - std::min(this->OwnShare[I], this->Policy.MaxOwnShare);
    double Callers = std::min((Measured[I] - Own[I]) / Left, 1.0);
    Measured[I] = this->withoutWaits(I, Callers, HoldsBack, Elapsed);
  }
}

double OverloadControl::withoutWaits(std::size_t I, double Callers,
                                     double HoldsBack, Duration Elapsed) {
  double Seconds = std::chrono::duration<double>(Elapsed).count();
  double MaxHeldBack =
      std::chrono::duration<double>(this->Policy.MaxHeldBack).count();
  double &Held = this->HeldBack[I];
  double Usual = this->Utilization[I];
  double Waiting = std::max(0.0, std::min({Usual - Callers, HoldsBack,
                                           (MaxHeldBack - Held) / Seconds}));
  double Late = std::max(0.0, std::min(Callers - Usual, Held / Seconds));
  Held += (Waiting - Late) * Seconds;
  return Callers + Waiting - Late;
}

void OverloadControl::update(const HostUsage &Usage, TimePoint Now) {
  bool IsMeasured = this->LastAt && Now > *this->LastAt &&
                    Now - *this->LastAt <= this->Policy.MaxInterval;
  if (IsMeasured) {
    Duration Elapsed = Now - *this->LastAt;
    PerResource Measured = this->measure(Usage, Elapsed);
    PerResource Own = this->measureOwn(Usage, Elapsed);
    this->excludeOwn(Measured, Own, Elapsed);
    double Weight = weightOf(Elapsed, this->Policy.Smoothing);
    double OwnWeight = weightOf(Elapsed, this->Policy.OwnSmoothing);
    for (std::size_t I = 0; I < HostResourceCount; ++I) {
      this->Utilization[I] +=
          Weight * (std::min(Measured[I], 1.0) - this->Utilization[I]);
      this->OwnShare[I] +=
          OwnWeight * (std::min(Own[I], 1.0) - this->OwnShare[I]);
    }
    this->decide(Now);
    if (this->OverloadedBy)
      this->Shedder.update(this->linkUtilization());
    else
      this->Shedder.stop();
    this->planCloses(Usage.CallerConnections, Elapsed, Now);
  }
  this->Last = Usage;
  this->LastAt = Now;
}

double OverloadControl::linkUtilization() const {
  return std::max(this->utilization(HostResource::LinkReceive),
                  this->utilization(HostResource::LinkSend));
}

bool OverloadControl::isStarved() const {
  return this->OverloadedBy && this->Last.HasOldConfig &&
         this->linkUtilization() > this->Policy.LinkFullAbove;
}

bool OverloadControl::isRelieved() const {
  for (std::size_t I = 0; I < HostResourceCount; ++I)
    if (this->Utilization[I] >= (this->HasCausedOverload[I]
                                     ? this->Thresholds[I].RelievedBelow
                                     : this->Thresholds[I].OverloadedAbove))
      return false;
  return true;
}

bool OverloadControl::isTolerable() const {
  for (std::size_t I = 0; I < HostResourceCount; ++I)
    if (this->Utilization[I] > this->Thresholds[I].OverloadedAbove)
      return false;
  return true;
}

void OverloadControl::decide(TimePoint Now) {
  for (std::size_t I = 0; I < HostResourceCount; ++I) {
    if (this->Utilization[I] <= this->Thresholds[I].OverloadedAbove)
      continue;
    this->HasCausedOverload[I] = true;
    if (this->OverloadedBy)
      continue;
    this->OverloadedBy = static_cast<HostResource>(I);
    this->OverloadedAt = Now;
    this->ExtraTime = std::chrono::duration_cast<Duration>(
        this->Rng.uniform() * this->Policy.MaxExtraTime);
  }
  auto Track = [Now](std::optional<TimePoint> &Since, bool Holds) {
    if (!Holds)
      Since.reset();
    else if (!Since)
      Since = Now;
  };
  Track(this->RelievedSince, this->isRelieved());
  Track(this->TolerableSince, this->isTolerable());
  auto HasHeld = [&](const std::optional<TimePoint> &Since, Duration For) {
    return Since && Now - *Since >= For + this->ExtraTime;
  };
  if (this->OverloadedBy &&
      Now - this->OverloadedAt >= this->Policy.BalancerDelay &&
      (HasHeld(this->RelievedSince, this->Policy.RelievedFor) ||
       HasHeld(this->TolerableSince, this->Policy.MaxNotReady))) {
    this->OverloadedBy.reset();
    this->HasCausedOverload = {};
  }
}

void OverloadControl::planCloses(std::size_t Connections, Duration Elapsed,
                                 TimePoint Now) {
  auto Resource = static_cast<std::size_t>(
      this->OverloadedBy.value_or(HostResource::LinkReceive));
  double Used = this->Utilization[Resource];
  // No more than necessary: what remains stays while the host is not ready, and
  // the hosts that follow get less and less.
  if (!this->OverloadedBy ||
      Now - this->OverloadedAt < this->Policy.BalancerDelay ||
      Used <= this->Thresholds[Resource].OverloadedAbove) {
    this->PendingCloses = 0;
    return;
  }
  // Connections that were due and had no answer since are not added up.
  this->PendingCloses -= std::floor(this->PendingCloses);
  this->PendingCloses += this->Policy.MovedPerSecond / Used *
                         static_cast<double>(Connections) *
                         std::chrono::duration<double>(Elapsed).count();
}

bool OverloadControl::endsConnection() {
  if (this->PendingCloses < 1)
    return false;
  this->PendingCloses -= 1;
  return true;
}

std::optional<Duration> OverloadControl::refuse(const CallDemand &Call,
                                                TimePoint Now) {
  if (this->Shedder.admit(Call, Now) && !this->isStarved())
    return std::nullopt;
  return this->Rng.jitter(BaseRetryAfter);
}

} // namespace bergamothook
