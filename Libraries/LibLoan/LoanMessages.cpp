#include "LibLoan/LoanMessages.h"

namespace bergamothook {

const char *nameOf(LoanVerdict Value) {
  switch (Value) {
  case LoanVerdict::Granted:
    return "granted";
  case LoanVerdict::Waiting:
    return "waiting";
  case LoanVerdict::NotInHand:
    return "not_in_hand";
  case LoanVerdict::Exhausted:
    return "exhausted";
  case LoanVerdict::Leaving:
    return "leaving";
  case LoanVerdict::LogLost:
    return "log_lost";
  }
  return "unknown";
}

} // namespace bergamothook
