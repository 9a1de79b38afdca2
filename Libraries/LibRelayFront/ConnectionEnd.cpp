#include "LibRelayFront/ConnectionEnd.h"

namespace bergamothook {

const char *nameOf(ConnectionEndCause Cause) {
  switch (Cause) {
  case ConnectionEndCause::Caller:
    return "caller";
  case ConnectionEndCause::Announced:
    return "announced";
  case ConnectionEndCause::IdleTimeout:
    return "idle_timeout";
  case ConnectionEndCause::Stop:
    return "stop";
  case ConnectionEndCause::Eviction:
    return "eviction";
  case ConnectionEndCause::Refusal:
    return "refusal";
  case ConnectionEndCause::Call:
    return "call";
  case ConnectionEndCause::TaskFailure:
    break;
  }
  return "task_failure";
}

} // namespace bergamothook
