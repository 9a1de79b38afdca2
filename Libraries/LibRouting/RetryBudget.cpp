#include "LibRouting/RetryBudget.h"

#include <algorithm>

namespace bergamothook {

RetryBudget::RetryBudget(RetryBudgetSettings Settings)
    : Settings(Settings), Balance(Settings.MaxBalance) {}

void RetryBudget::firstAttempt() {
  ++this->FirstAttempts;
  this->Balance = std::min(this->Settings.MaxBalance,
                           this->Balance + this->Settings.RetryRatio);
}

bool RetryBudget::tryRetry() {
  if (this->Balance < 1) {
    ++this->Refused;
    return false;
  }
  this->Balance -= 1;
  ++this->Retries;
  return true;
}

double RetryBudget::amplification() const {
  if (this->FirstAttempts == 0)
    return 1;
  return 1 + static_cast<double>(this->Retries) /
                 static_cast<double>(this->FirstAttempts);
}

} // namespace bergamothook
