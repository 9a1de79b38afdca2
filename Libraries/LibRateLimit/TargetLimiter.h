/// \file
/// The rate limits that targets state in their answers, and the requests that
/// this host sends to such targets.

#ifndef BERGAMOTHOOK_LIBRATELIMIT_TARGETLIMITER_H
#define BERGAMOTHOOK_LIBRATELIMIT_TARGETLIMITER_H

#include "LibObserve/Metrics.h"
#include "LibRateLimit/StatedLimit.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamothook {

/// Why a request is sent to a target.
enum class SendKind {
  First,
  /// The request was sent to another target before.
  Resend,
  /// Continues a stream that was interrupted.
  Resumption,
};

/// The limiter of one host. A target is addressed by the key of one run of its
/// process, since a restarted target states its limit anew.
class TargetLimiter {
public:
  explicit TargetLimiter(Metrics &Stats) : Stats(Stats) {}

  /// Applies an answer of a target; \p PerSecond is unset if the answer states
  /// no limit.
  void onAnswer(const std::string &Key, std::optional<double> PerSecond,
                TimePoint SentAt, TimePoint Now);

  /// Counts a request that is sent to a target.
  void onSend(const std::string &Key, SendKind Kind);

  /// Logs the use of limited targets, at most once per ReportInterval.
  void reportUse(TimePoint Now);

  /// \returns the limit of a target as far as this host knows.
  std::optional<double> limitOf(const std::string &Key) const;

  /// \returns the number of targets that state a limit.
  std::size_t limitedTargets() const;

private:
  struct LimitedTarget {
    StatedLimit Limit;
    /// Sends by kind since the last report.
    std::map<SendKind, std::uint64_t> Sends;
  };

  void logChange(const std::string &Key, const StatedLimit &Limit) const;

  Metrics &Stats;
  /// Targets that state a limit or once did.
  std::map<std::string, LimitedTarget> Targets;
  TimePoint NextReport{};
};

} // namespace bergamothook

#endif
