/// \file
/// Turns the reasons of the inner libraries into what callers are told.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_PROBLEMMAPPING_H
#define BERGAMOTHOOK_SERVICES_ROUTER_PROBLEMMAPPING_H

#include "LibApi/ApiFailure.h"
#include "LibOutcome/Outcome.h"

namespace bergamothook {

/// The problem that a request with the verdict \p Verdict is answered.
/// \p Reason says why; \p RetryAfter is zero where a retry does not help.
ApiProblem problemOf(Outcome Verdict, std::error_code Reason,
                     Duration RetryAfter);

} // namespace bergamothook

#endif
