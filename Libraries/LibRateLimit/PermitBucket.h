/// \file
/// A token bucket whose permits expire soon after they were earned.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_PERMITBUCKET_H
#define BERGAMOTHOOK_LIBRATELIMIT_PERMITBUCKET_H

#include "LibBase/Time.h"

#include <optional>

namespace bergamothook {

/// Starts empty. A permit can be taken within its lifetime after it was earned,
/// which bounds a burst also where several hosts have buckets with low rates.
class PermitBucket {
public:
  static constexpr Duration PermitLifetime = std::chrono::milliseconds(500);

  explicit PermitBucket(Duration Lifetime = PermitLifetime)
      : Lifetime(Lifetime) {}

  void setRate(double PerSecond, TimePoint Now);

  /// Takes one permit. \returns false if there is none.
  [[nodiscard]] bool take(TimePoint Now);

  /// \returns the time until the next permit; nothing if none will be earned.
  std::optional<Duration> untilNext(TimePoint Now);

  double rate() const { return this->PerSecond; }

private:
  void accrue(TimePoint Now);

  Duration Lifetime;
  double PerSecond = 0;
  double Permits = 0;
  TimePoint AccruedAt{};
};

} // namespace bergamothook

#endif
