/// \file
/// Lets a task wait for a reservation that the slice in hand does not cover.

#ifndef BERGAMOTHOOK_LIBLEDGER_RESERVATIONWAIT_H
#define BERGAMOTHOOK_LIBLEDGER_RESERVATIONWAIT_H

#include "LibLedger/SliceHolder.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// What a task wants to reserve.
struct ReservationOrder {
  TeamId Team;
  RequestId Request;
  AttemptNumber Attempt;
  TokenCount WorstCase = 0;
};

/// Reserves, and while the slice in hand is too small, waits for a grant until
/// \p Deadline. \p Changed is notified by SliceHolderHooks::Changed. Errors as
/// SliceHolder::reserve().
Result<ReservationId> reserveBefore(SliceHolder &Holder, Event &Changed,
                                    const Runtime &Tasks,
                                    const ReservationOrder &Order,
                                    TimePoint Deadline);

} // namespace bergamothook

#endif
