/// \file
/// What one run of the routing experiment measured.

#ifndef BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGFIGURES_H
#define BERGAMOTHOOK_UTILITIES_BENCH_ROUTINGFIGURES_H

#include "LibBase/Time.h"
#include "LibBase/WorkClass.h"

#include <array>
#include <cstdint>
#include <vector>

namespace bergamothook {

/// The first token of a quick answer comes in time up to this age, a draft is
/// whole in time up to the other.
constexpr Duration QuickLimit = std::chrono::seconds(2);
constexpr Duration DraftLimit = std::chrono::seconds(120);

/// Samples of one time, in milliseconds.
class TimeSamples {
public:
  void add(Duration Value);

  /// Gives the value below which the share \p Share of the samples lies, in
  /// milliseconds; 0 without samples.
  double quantile(double Share);

  std::size_t count() const { return this->Values.size(); }

private:
  std::vector<float> Values;
  bool IsSorted = false;
};

/// Counts of one class of work, of requests that arrived after the warm-up.
struct ClassFigures {
  std::uint64_t Offered = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Finished = 0;

  double lateShare() const;
};

struct RoutingFigures {
  /// Requests that arrive earlier find cold caches and are not counted.
  static constexpr Duration WarmUp = std::chrono::seconds(20);

  TimeSamples QuickFirstToken;
  TimeSamples DraftFirstToken;
  TimeSamples TokenGap;
  std::array<ClassFigures, WorkClassCount> Classes;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Ejections = 0;
  double Seconds = 0;

  /// Quick answers by the second of their arrival: all, and those late.
  std::vector<std::uint32_t> OfferedBySecond;
  std::vector<std::uint32_t> InTimeBySecond;

  /// Gives the requests in time per second.
  double goodput() const;
  double amplification() const;
  double cacheShare() const;

  /// Gives the seconds after \p From from which on fewer than a twentieth of
  /// the quick answers are late; the rest of the run if that never comes.
  double recoverySeconds(std::size_t From) const;
};

} // namespace bergamothook

#endif
