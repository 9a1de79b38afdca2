/// \file
/// Refuses calls immediately that would wait for something that recent calls
/// did not get.
///
/// This answers many calls that need what is not available at the moment:
/// tokens whose holders are out of reach, or targets that can't be connected
/// to. Each would be refused after its wait, too late for its caller to retry
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

/// A circuit breaker for each key: a team or a service. While it is open, one
/// call at a time is let through as a probe. Not thread-safe.
class FailureGate {
public:
  /// The decision on one call. Ends the probe, if the call is one, at the end
  /// of its scope. Must not outlive the gate.
  class Pass {
  public:
    Pass(FailureGate &Gate, std::string Key, std::int64_t Amount)
        : Gate(&Gate), Key(std::move(Key)), Amount(Amount) {}
    ~Pass() { this->endProbe(); }
    Pass(Pass &&Other) noexcept;
    Pass(const Pass &) = delete;
    Pass &operator=(const Pass &) = delete;

    bool isRefused() const { return this->IsRefused; }
    bool isProbe() const { return this->Probe != 0; }

    /// Records that the call got what it needed.
    void succeed();
    /// Records that it waited and did not get it.
    void fail(TimePoint Now);

  private:
    friend class FailureGate;

    void endProbe();

    FailureGate *Gate;
    std::string Key;
    std::int64_t Amount;
    bool IsRefused = false;
    std::uint64_t Probe = 0;
  };

  explicit FailureGate(FailureGatePolicy Policy = {}) : Policy(Policy) {}

  /// Decides on a call that needs \p Amount. A failure for a larger amount does
  /// not count against it.
  Pass enter(const std::string &Key, std::int64_t Amount, TimePoint Now);

  /// Forgets the failures for \p Key.
  void forget(const std::string &Key) { this->Entries.erase(Key); }

private:
  struct Entry {
    unsigned Failures = 0;
    /// The smallest amount that failed.
    std::int64_t Amount = 0;
    TimePoint LastFailure{};
    /// The number of the probe in progress; 0 if there is none.
    std::uint64_t Probe = 0;
  };

  FailureGatePolicy Policy;
  /// Keys with recent failures. They come from the configuration, so that their
  /// number is bounded.
  std::map<std::string, Entry> Entries;
  std::uint64_t LastProbe = 0;
};

} // namespace bergamothook

#endif
