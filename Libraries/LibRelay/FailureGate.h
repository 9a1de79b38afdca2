/// \file
/// Refuses calls at once that are about to wait for something that recent calls
/// have waited for in vain.
///
/// This answers many calls that need what can't be had at the moment: tokens
/// whose holders are out of reach, or targets that can't be connected to. Each
/// would be refused after its wait, too late for its caller to return
/// elsewhere.

#ifndef BERGAMOTHOOK_LIBRELAY_FAILUREGATE_H
#define BERGAMOTHOOK_LIBRELAY_FAILUREGATE_H

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace bergamothook {

struct FailureGatePolicy {
  /// After this many failures without a success in between, calls are refused.
  unsigned MaxFailures = 3;
  /// Failures count for this long after the newest one.
  Duration Memory = std::chrono::seconds(2);
};

enum class GateVerdict {
  /// The call goes on.
  Open,
  /// The call goes on, and is the only one that finds out whether calls succeed
  /// again. It has to report its end.
  Probe,
  /// The call is refused.
  Closed,
};

/// A circuit breaker for each key: a team or a service. Half open from the
/// start, since there is always one call that tries. Not thread-safe.
class FailureGate {
public:
  explicit FailureGate(FailureGatePolicy Policy = {}) : Policy(Policy) {}

  /// Decides on a call that needs \p Amount. What failed for larger amounts
  /// only says nothing on it.
  GateVerdict enter(const std::string &Key, std::int64_t Amount, TimePoint Now);

  void onSuccess(const std::string &Key, std::int64_t Amount);
  void onFailure(const std::string &Key, std::int64_t Amount, TimePoint Now);

  /// Ends a probe without a result: its caller left, or the host stops. One
  /// that does not end counts as ended after Policy.Memory.
  void onAbandoned(const std::string &Key);

private:
  struct Entry {
    unsigned Failures = 0;
    /// The smallest amount that failed.
    std::int64_t Amount = 0;
    TimePoint LastFailure{};
    /// A probe is in progress until it ends, or until this time.
    TimePoint ProbeUntil{};
  };

  FailureGatePolicy Policy;
  /// Keys with recent failures. They come from the configuration, so that their
  /// number is bounded.
  std::map<std::string, Entry> Entries;
};

} // namespace bergamothook

#endif
