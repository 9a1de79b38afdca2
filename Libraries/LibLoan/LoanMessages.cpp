#include "LibLoan/LoanMessages.h"

namespace bergamothook {

const char *nameOf(LoanStatus Value) {
  switch (Value) {
  case LoanStatus::Granted:
    return "granted";
  case LoanStatus::Waiting:
    return "waiting";
  case LoanStatus::NotInHand:
    return "not_in_hand";
  case LoanStatus::Exhausted:
    return "exhausted";
  case LoanStatus::Leaving:
    return "leaving";
  case LoanStatus::LogLost:
    return "log_lost";
  }
  return "unknown";
}

} // namespace bergamothook
