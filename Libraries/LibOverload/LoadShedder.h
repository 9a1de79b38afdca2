/// \file
/// Chooses which calls a host refuses while its link is full.
///
/// This answers a load of calls whose bytes exceed what the link carries: calls
/// are refused from the least urgent rank upwards, and within a rank the
/// longest first, so that the bytes that are left serve the most callers.

#ifndef BERGAMOTHOOK_LIBOVERLOAD_LOADSHEDDER_H
#define BERGAMOTHOOK_LIBOVERLOAD_LOADSHEDDER_H

#include "LibBase/Random.h"
#include "LibBase/Time.h"

#include <array>
#include <cstddef>

namespace bergamothook {

struct ShedderPolicy {
  /// Utilization of the link above which more calls are refused, and below
  /// which fewer are. The rest of the link is for answers in progress and for
  /// messages to other hosts and the store.
  double RefuseMoreAbove = 0.9;
  double RefuseFewerBelow = 0.75;
  /// The change of the refused fraction with each update.
  double Step = 0.1;
  double MaxRefused = 0.9;
  /// After this time, an earlier call counts half.
  Duration HalfLife = std::chrono::seconds(1);
};

/// What the decision depends on.
struct CallDemand {
  /// 0 is the most urgent.
  int Rank = 0;
  std::size_t Bytes = 0;
};

class LoadShedder {
public:
  LoadShedder(ShedderPolicy Policy, std::uint64_t Seed)
      : Policy(Policy), Rng(Seed) {}

  /// Adapts the refused fraction to the utilization of the link.
  void update(double LinkUtilization);
  /// Refuses no more calls.
  void stop() { this->Refused = 0; }

  /// Counts a call. \returns whether it may start.
  bool admit(const CallDemand &Call, TimePoint Now);

  /// The fraction of the calls' bytes that is refused.
  double refusedFraction() const { return this->Refused; }

private:
  static constexpr std::size_t Ranks = 10;
  /// Bodies of up to 1 KiB, 2 KiB and so on.
  static constexpr std::size_t Sizes = 8;

  static std::size_t classOf(const CallDemand &Call);
  void decay(TimePoint Now);

  ShedderPolicy Policy;
  Random Rng;
  double Refused = 0;
  TimePoint DecayedAt{};
  /// Recent bytes by class; a lower class is refused later.
  std::array<double, Ranks * Sizes> Recent{};
};

} // namespace bergamothook

#endif
