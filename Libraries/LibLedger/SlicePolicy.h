/// \file
/// How large slices are, and how much of one may be unwitnessed.

#ifndef BERGAMOTHOOK_LIBLEDGER_SLICEPOLICY_H
#define BERGAMOTHOOK_LIBLEDGER_SLICEPOLICY_H

#include "LibBase/Time.h"
#include "LibLedger/LedgerRecord.h"

namespace bergamothook {

/// Settings of the holders of one fleet. They move how much is held back and
/// how soon it returns, never whether a budget can be overspent.
struct SlicePolicy {
  /// 0: few tokens are held and few are stranded by a death. 1: slices are
  /// large, so that nothing is refused while the log is out.
  double Eagerness = 0.5;
  /// How many hosts share the budgets.
  std::uint32_t FleetHosts = 9;
  /// The longest outage of the log that slices are sized for.
  Duration OutageCover = std::chrono::minutes(10);
  /// The time constant of the rate of spending.
  Duration RateWindow = std::chrono::minutes(5);
  /// What a slice aims at besides its rate, while the budget has it: small
  /// rates are known badly.
  TokenCount SmallestTarget = 20'000;
  /// How many of its largest reservations a slice may have unwitnessed at
  /// least.
  TokenCount CapReservations = 2;
  /// How long a denied reservation counts as wanted unless it is repeated.
  Duration WantLifetime = std::chrono::seconds(2);
  /// How long a denied demand waits before it is stated again, which makes
  /// other holders return more.
  Duration DemandInterval = std::chrono::milliseconds(250);
  /// How long a slice must have been too large before some of it returns.
  Duration ExcessPatience = std::chrono::seconds(60);
  /// How often the stream is marked, to age what the fold remembers.
  Duration EpochInterval = std::chrono::minutes(1);

  /// The tokens that a slice aims at. \p Rate is in tokens a second.
  TokenCount target(double Rate, TokenCount Reserved,
                    TokenCount Unallocated) const;

  /// The most that one request for a grant takes when nothing waits for it.
  TokenCount largestTopping(TokenCount Unallocated) const;

  /// The promise of the holder of \p Held tokens whose largest reservation
  /// was \p Largest.
  TokenCount unwitnessedCap(TokenCount Held, TokenCount Largest) const;
};

} // namespace bergamothook

#endif
