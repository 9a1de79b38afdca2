/// \file
/// The rate at which all hosts together send to a target that has just started
/// and is still cold.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_COLDLIMIT_H
#define BERGAMOTHOOK_LIBRATELIMIT_COLDLIMIT_H

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace bergamothook {

/// How far the requests that a cold target receives in any one second may
/// exceed its rate: rate x Overshoot + Slack.
struct ColdBounds {
  double Overshoot = 1.5;
  double Slack = 5;
};

/// How long a permit for a cold target can be taken after it was earned.
/// Shorter than for other limits, whose bounds apply to longer spans than a
/// second.
constexpr Duration ColdPermitLifetime = std::chrono::milliseconds(100);
/// The longest time from the request for a permit to the send. A connection
/// within the fleet is set up in a few milliseconds.
constexpr Duration MaxColdPermitAge = std::chrono::milliseconds(200);

/// The limit of a cold target, as its hosts share it.
struct ColdLimit {
  /// 0 if the bounds leave no room for any request.
  double PerSecond = 0;
  std::size_t Shares = 1;
};

/// \returns the most requests that a cold target can receive in one second
/// under \p Limit, while every share is leased to a different host and one
/// host more than there are shares counts itself as a holder.
double mostInOneSecond(const ColdLimit &Limit);

/// Chooses the highest rate up to \p ColdPerSecond whose requests stay within
/// \p Bounds, divided into at most \p MaxShares shares. All hosts compute the
/// same for the same configuration.
ColdLimit coldLimit(double ColdPerSecond, ColdBounds Bounds,
                    std::size_t MaxShares);

/// \returns the key under which hosts share the limit of the cold period of
/// one run of a target. It names the number of shares, so that a holder needs
/// no configuration to know it.
std::string coldKey(const std::string &RunKey, std::size_t Shares);

struct ColdKeyParts {
  std::string RunKey;
  std::size_t Shares = 1;
};

/// \returns nothing for the key of a limit that a target states.
std::optional<ColdKeyParts> parseColdKey(const std::string &Key);

/// What a host knows of the cold period of one run of a target. Hosts have no
/// common clock, so the time left is reported.
struct ColdReport {
  std::string RunKey;
  /// Zero if the target is warm.
  Duration Left{};
  /// Orders the entries of this run of the target; 0 for one without a number,
  /// which counts as the newest.
  std::uint64_t Sequence = 0;
  /// Another host sent the report. Without a number it only extends a period.
  bool IsNotice = false;
};

} // namespace bergamothook

#endif
