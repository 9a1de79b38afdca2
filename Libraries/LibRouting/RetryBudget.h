/// \file
/// Limits the load added by retries. Each first attempt adds a fraction of a
/// retry to the budget; a retry is refused when less than one is left. Over any
/// sequence of N first attempts there are at most N * (1 + RetryRatio) +
/// MaxBalance attempts.

#ifndef BERGAMOTHOOK_LIBROUTING_RETRYBUDGET_H
#define BERGAMOTHOOK_LIBROUTING_RETRYBUDGET_H

#include <cstdint>

namespace bergamothook {

struct RetryBudgetSettings {
  /// The number of retries added per first attempt.
  double RetryRatio = 0.15;
  /// The maximum number of retries in the budget, which is also the initial
  /// number. It keeps a quiet period from funding a retry storm.
  double MaxBalance = 10;
};

/// The retry budget of one host or of one team on it. Not thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings);

  /// Records a first attempt.
  void firstAttempt();

  /// Consumes one retry from the budget. \returns false if none is left.
  [[nodiscard]] bool tryRetry();

  /// Returns the number of attempts per first attempt so far.
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
