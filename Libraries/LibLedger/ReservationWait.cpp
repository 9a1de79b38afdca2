#include "LibLedger/ReservationWait.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// How often a waiting reservation is tried again although nothing changed,
/// which keeps it counted as wanted.
constexpr Duration TryInterval = std::chrono::milliseconds(500);

bool mayComeLater(std::error_code Failure) {
  return Failure == LedgerError::SliceNotInHand ||
         Failure == LedgerError::WitnessBehind;
}

} // namespace

Result<ReservationId> reserveBefore(SliceHolder &Holder, Event &Changed,
                                    const Runtime &Tasks,
                                    const ReservationOrder &Order,
                                    TimePoint Deadline) {
  for (;;) {
    std::uint64_t Seen = Changed.generation();
    TimePoint Now = Tasks.Now();
    auto Made = Holder.reserve(Order.Team, Order.Request, Order.Attempt,
                               Order.WorstCase, Now);
    if (Made || !mayComeLater(Made.error()))
      return Made;
    if (Now >= Deadline) {
      Holder.abandon(Order.Team, Order.Request);
      return Made;
    }
    Tasks.WaitOn(Changed, Seen, std::min(Deadline, Now + TryInterval));
  }
}

} // namespace bergamothook
