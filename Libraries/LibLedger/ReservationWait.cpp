#include "LibLedger/ReservationWait.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// Interval at which a waiting reservation is retried even without a change, so
/// that the holder keeps counting it as waiting.
constexpr Duration RetryInterval = std::chrono::milliseconds(500);

bool isRetryable(std::error_code Failure) {
  return Failure == LedgerError::SliceNotInHand ||
         Failure == LedgerError::WitnessBehind;
}

} // namespace

Result<ReservationId> reserveWithDeadline(SliceHolder &Holder, Event &Changed,
                                          const Runtime &Tasks,
                                          const ReservationRequest &Request,
                                          TimePoint Deadline) {
  for (;;) {
    std::uint64_t Generation = Changed.generation();
    TimePoint Now = Tasks.Now();
    auto Reservation = Holder.reserve(Request.Team, Request.Request,
                                      Request.Attempt, Request.WorstCase, Now);
    if (Reservation || !isRetryable(Reservation.error()))
      return Reservation;
    if (Now >= Deadline) {
      Holder.abandon(Request.Team, Request.Request);
      return Reservation;
    }
    Tasks.WaitOn(Changed, Generation, std::min(Deadline, Now + RetryInterval));
  }
}

} // namespace bergamothook
