/// \file
/// Bounds what retries add to the load. Each first attempt earns a share of a
/// retry; a retry that finds too little earned is not made. Over any run of N
/// first attempts the attempts are at most N * (1 + share) + the reserve.

#ifndef BERGAMOTHOOK_LIBROUTING_RETRYBUDGET_H
#define BERGAMOTHOOK_LIBROUTING_RETRYBUDGET_H

#include <cstdint>

namespace bergamothook {

struct RetryBudgetSettings {
  /// The retries that one first attempt earns.
  double RetryRatio = 0.15;
  /// The most retries that may be saved up, so that a quiet hour does not pay
  /// for a storm; also what there is at the start.
  double MaxBalance = 10;
};

/// The retry budget of one host or of one team on it. Not thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings);

  /// Counts a first attempt.
  void firstAttempt();

  /// Takes one retry out of the budget. \returns false when there is none.
  [[nodiscard]] bool tryRetry();

  /// Gives the attempts made for each first attempt so far.
  double amplification() const;

  std::uint64_t refused() const { return this->Refused; }

private:
  RetryBudgetSettings Settings;
  double Balance;
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Refused = 0;
};

} // namespace bergamothook

#endif
