/// \file
/// Settings for the size of slices and for how much of one may be unwitnessed.

#ifndef BERGAMOTHOOK_LIBLEDGER_SLICEPOLICY_H
#define BERGAMOTHOOK_LIBLEDGER_SLICEPOLICY_H

#include "LibBase/Time.h"
#include "LibLedger/LedgerRecord.h"

namespace bergamothook {

/// Settings of the holders of one fleet. They affect how many tokens are held
/// and how soon they are returned, but can never cause overspending.
struct SlicePolicy {
  /// Trade-off from 0 to 1. At 0, few tokens are held, so few are stranded when
  /// a host dies. At 1, slices are large, so that no request is refused while
  /// the log is unavailable.
  double Eagerness = 0.5;
  /// Number of hosts that share the budgets.
  std::uint32_t FleetHosts = 9;
  /// Duration of a log outage that slices are sized for.
  Duration OutageCover = std::chrono::minutes(10);
  /// Time constant of the spending rate.
  Duration RateWindow = std::chrono::minutes(5);
  /// Added to the target of a slice as far as the budget allows, because small
  /// spending rates are estimated poorly.
  TokenCount SmallestTarget = 20'000;
  /// Minimum unwitnessed cap of a slice, as a multiple of its largest
  /// reservation.
  TokenCount CapReservations = 2;
  /// How long a refused reservation counts as waiting unless it is retried.
  Duration WaitingReservationTimeout = std::chrono::seconds(2);
  /// Interval at which an unmet demand is requested again, which makes other
  /// holders return more tokens.
  Duration DemandInterval = std::chrono::milliseconds(250);
  /// How long a slice must be too large before the excess is returned.
  Duration ExcessDelay = std::chrono::seconds(60);
  /// Interval between epoch marks, which expire the identifiers remembered by
  /// the fold.
  Duration EpochInterval = std::chrono::minutes(1);

  /// \returns the target size of a slice. \p Rate is in tokens per second.
  TokenCount target(double Rate, TokenCount Reserved,
                    TokenCount Unallocated) const;

  /// \returns the maximum of one grant request when no reservation waits for
  /// it.
  TokenCount maxRefill(TokenCount Unallocated) const;

  /// \returns the unwitnessed cap for a slice of \p Held tokens whose largest
  /// reservation was \p LargestReservation.
  TokenCount unwitnessedCap(TokenCount Held,
                            TokenCount LargestReservation) const;
};

} // namespace bergamothook

#endif
