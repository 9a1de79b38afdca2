/// \file
/// Decides from a host's own measurements whether its callers overload it, and
/// what it does then: it reports that it is not ready, so that the load
/// balancer sends new connections elsewhere, ends open connections one after
/// the other, and refuses calls while its link is full.
///
/// This responds to a load that enters at one small host while other hosts are
/// idle. All callers that leave may go to the same other host, so they leave
/// slowly: moving all of them at once would overload one host after the other.
/// What the host itself reads from the store does not make it overloaded: all
/// hosts read the same at the same time, and would all leave together.

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
  ResourceThresholds Descriptors = {0.9, 0.75};
  ResourceThresholds Memory = {0.9, 0.6};
  /// Thresholds of hosts differ by up to this fraction, so that hosts with the
  /// same load do not all become unready together.
  double ThresholdJitter = 0.1;
  /// The time constant of the moving averages.
  Duration Smoothing = std::chrono::milliseconds(600);
  /// A longer interval is not a measurement: the process was suspended, and
  /// what the kernel received meanwhile is read at once.
  Duration MaxInterval = std::chrono::milliseconds(1000);
  /// The load balancer probes once per second and removes a host after the
  /// second failure. Connections that end earlier come back to this host.
  Duration BalancerDelay = std::chrono::milliseconds(2000);
  /// How long the load must have been below the lower threshold before the host
  /// is ready again, and the maximum random time that is added.
  Duration RelievedFor = std::chrono::milliseconds(1000);
  Duration MaxExtraTime = std::chrono::milliseconds(1000);
  /// A host whose load stays between the thresholds is ready again after this
  /// time and the random one.
  Duration MaxNotReady = std::chrono::milliseconds(6000);
  /// The load that is moved to other hosts in a second by ending connections,
  /// as a fraction of the capacity. A host that gets all of it is out of the
  /// load balancer's rotation before its link is full.
  double MovedPerSecond = 0.15;
  /// The time constant of the average of what the host itself exchanges with
  /// the store. Slow, since all hosts read the same at the same time: a
  /// configuration that fills the link for a second is no reason to leave.
  Duration OwnSmoothing = std::chrono::seconds(30);
  /// What of the link this average takes from the callers' capacity at most, so
  /// that a host that reads much is not overloaded by few callers.
  double MaxOwnShare = 0.5;
  /// A direction of the link in use above this fraction makes bytes wait.
  double LinkFullAbove = 0.8;
  /// How long callers' bytes may wait behind own ones, at a full link.
  Duration MaxHeldBack = std::chrono::milliseconds(1000);
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
  /// the call must not start. While callers fill the link and keep the host
  /// from reading the configuration, none starts: it would be routed by an old
  /// version, and its bytes would prolong that.
  std::optional<Duration> refuse(const CallDemand &Call, TimePoint Now);

  /// \returns the fraction of a resource that is in use; 0 if it is not
  /// limited. Of the link, the part that the host's own exchanges with the
  /// store leave over on average.
  double utilization(HostResource Resource) const {
    return this->Utilization[static_cast<std::size_t>(Resource)];
  }
  /// \returns the average fraction of a direction of the link that the host's
  /// own exchanges with the store use; 0 for other resources.
  double ownShare(HostResource Resource) const {
    return this->OwnShare[static_cast<std::size_t>(Resource)];
  }
  double refusedFraction() const { return this->Shedder.refusedFraction(); }

private:
  using PerResource = std::array<double, HostResourceCount>;

  PerResource measure(const HostUsage &Usage, Duration Elapsed) const;
  /// \returns what the host's own bytes use of each direction of the link.
  PerResource measureOwn(const HostUsage &Usage, Duration Elapsed) const;
  /// Leaves in \p Measured what callers use of the link.
  void excludeOwn(PerResource &Measured, const PerResource &Own,
                  Duration Elapsed);
  /// \returns \p Callers, the fraction that callers use of the direction \p I,
  /// as if no byte had waited behind own ones: such bytes count when they were
  /// due, and not as they arrive together. \p HoldsBack is the fraction that
  /// the own bytes use of a full link.
  double withoutWaits(std::size_t I, double Callers, double HoldsBack,
                      Duration Elapsed);
  double linkUtilization() const;
  bool isStarved() const;
  /// \returns whether all resources are below the threshold that ends an
  /// overload: the lower one for those that caused it.
  bool isRelieved() const;
  /// \returns whether all resources are below their upper thresholds.
  bool isTolerable() const;
  void decide(TimePoint Now);
  /// Determines how many connections may end until the next measurement.
  void planCloses(std::size_t Connections, Duration Elapsed, TimePoint Now);

  OverloadPolicy Policy;
  HostCapacity Capacity;
  Random Rng;
  LoadShedder Shedder;
  std::array<ResourceThresholds, HostResourceCount> Thresholds;
  PerResource Utilization{};
  PerResource OwnShare{};
  /// Callers' bytes that were counted and have yet to arrive, in seconds of the
  /// link.
  PerResource HeldBack{};
  HostUsage Last;
  std::optional<TimePoint> LastAt;
  /// The first resource that caused the overload, and all that did since.
  std::optional<HostResource> OverloadedBy;
  std::array<bool, HostResourceCount> HasCausedOverload{};
  TimePoint OverloadedAt{};
  /// Since when isRelieved() and isTolerable() have held.
  std::optional<TimePoint> RelievedSince;
  std::optional<TimePoint> TolerableSince;
  Duration ExtraTime{};
  /// How many connections are to end; a fraction is carried over.
  double PendingCloses = 0;
};

} // namespace bergamothook

#endif
