/// \file
/// Decides from a host's own measures whether it is overloaded, and what it
/// does about it: it reports that it is not ready, so that the load balancer
/// sends new connections elsewhere, ends open connections one after the other,
/// and refuses calls while its link is full.
///
/// This answers a crowd of callers that all enter at one small host while its
/// siblings are idle. All that leave it may go to the same sibling, so they
/// leave slowly: a crowd that moves as a whole would overload one host after
/// the other.

#ifndef BERGAMOTHOOK_LIBOVERLOAD_OVERLOADCONTROL_H
#define BERGAMOTHOOK_LIBOVERLOAD_OVERLOADCONTROL_H

#include "LibOverload/HostUsage.h"
#include "LibOverload/LoadShedder.h"

#include <array>
#include <optional>

namespace bergamothook {

/// When a resource makes the host overloaded, as fractions of its capacity.
struct ResourceThresholds {
  double OverloadedAbove = 1;
  /// The end of the overload; less, so that the host does not change its mind
  /// with every burst.
  double RelievedBelow = 1;
};

struct OverloadPolicy {
  /// The link has to carry what arrives before the load balancer notices.
  ResourceThresholds Link = {0.55, 0.4};
  /// Short peaks of the processor are normal.
  ResourceThresholds Processor = {0.95, 0.7};
  ResourceThresholds Descriptors = {0.9, 0.75};
  ResourceThresholds Memory = {0.9, 0.6};
  /// Thresholds of hosts differ by up to this fraction, so that siblings with
  /// the same load do not all become unready together.
  double ThresholdJitter = 0.1;
  /// The time constant of the moving average of what is used a second.
  Duration Smoothing = std::chrono::milliseconds(600);
  /// The load balancer asks each second and acts on the second miss.
  Duration MinNotReady = std::chrono::milliseconds(2500);
  /// How long the load must have been low before the host is ready again, and
  /// the random time that is added.
  Duration RelievedFor = std::chrono::milliseconds(1000);
  Duration MaxExtraTime = std::chrono::milliseconds(1000);
  /// The load that is moved to other hosts in a second by ending connections,
  /// as a fraction of the capacity. A sibling that gets all of it is out of the
  /// load balancer's rotation 2.5 s after it is overloaded, before its link is
  /// full.
  double MovedPerSecond = 0.15;
  ShedderPolicy Shedder;
};

/// Not thread-safe.
class OverloadControl {
public:
  OverloadControl(OverloadPolicy Policy, HostCapacity Capacity,
                  std::uint64_t Seed);

  /// Applies a measurement. Called several times per second.
  void update(const HostUsage &Usage, TimePoint Now);

  bool isOverloaded() const { return this->OverloadedBy.has_value(); }

  /// The resource that made the host overloaded.
  std::optional<HostResource> overloadedBy() const {
    return this->OverloadedBy;
  }

  /// Decides whether the connection of the answer that is about to be sent ends
  /// with it.
  bool endsConnection();

  /// Decides on a call that has arrived. \returns when its caller may return if
  /// the call must not start.
  std::optional<Duration> refuse(const CallDemand &Call, TimePoint Now);

  /// \returns the fraction of a resource that is in use; 0 if it is not
  /// limited.
  double utilization(HostResource Resource) const {
    return this->Utilization[static_cast<std::size_t>(Resource)];
  }
  double refusedFraction() const { return this->Shedder.refusedFraction(); }

private:
  using PerResource = std::array<double, HostResourceCount>;

  PerResource measure(const HostUsage &Usage, Duration Elapsed) const;
  double linkUtilization() const;
  void decide(TimePoint Now);
  /// Determines how many connections may end until the next measurement.
  void planMoves(std::size_t Connections, Duration Elapsed);

  OverloadPolicy Policy;
  HostCapacity Capacity;
  Random Rng;
  LoadShedder Shedder;
  std::array<ResourceThresholds, HostResourceCount> Thresholds;
  PerResource Utilization{};
  HostUsage Last;
  std::optional<TimePoint> LastAt;
  std::optional<HostResource> OverloadedBy;
  TimePoint OverloadedAt{};
  /// Since when all resources have been below their lower thresholds.
  std::optional<TimePoint> RelievedSince;
  Duration ExtraTime{};
  /// How many connections are to end; a fraction is carried over.
  double PendingMoves = 0;
};

} // namespace bergamothook

#endif
