/// \file
/// Waiting for a reservation that the local slice does not cover yet.

#ifndef BERGAMOTHOOK_LIBLEDGER_RESERVATIONWAIT_H
#define BERGAMOTHOOK_LIBLEDGER_RESERVATIONWAIT_H

#include "LibLedger/SliceHolder.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// Parameters of a reservation.
struct ReservationRequest {
  TeamId Team;
  RequestId Request;
  AttemptNumber Attempt;
  TokenCount WorstCase = 0;
};

/// Reserves tokens. While the local slice is too small, waits for a grant until
/// \p Deadline. SliceHolderHooks::Changed must notify \p Changed. Returns the
/// errors of SliceHolder::reserve().
Result<ReservationId> reserveWithDeadline(SliceHolder &Holder, Event &Changed,
                                          const Runtime &Tasks,
                                          const ReservationRequest &Request,
                                          TimePoint Deadline);

} // namespace bergamothook

#endif
