/// \file
/// Maps error codes of the internal libraries to problems reported to callers.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_PROBLEMMAPPING_H
#define BERGAMOTHOOK_SERVICES_ROUTER_PROBLEMMAPPING_H

#include "LibApi/ApiFailure.h"
#include "LibOutcome/Outcome.h"

namespace bergamothook {

/// \returns the problem to report for a request with the outcome \p Verdict and
/// the cause \p Reason. \p RetryAfter is zero if a retry is pointless.
ApiProblem problemOf(Outcome Verdict, std::error_code Reason,
                     Duration RetryAfter);

} // namespace bergamothook

#endif
