/// \file
/// Settings for how many tokens of a budget a process holds for future
/// requests.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETPOLICY_H
#define BERGAMOTHOOK_LIBWALLET_WALLETPOLICY_H

#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

namespace bergamothook {

/// Balances two goals: tokens held by a process are lost when it dies, but they
/// are also all that it can spend while the log is unavailable. None of these
/// settings can cause overspending.
struct WalletPolicy {
  /// Duration of a log outage, or of a lost connection to the log, that idle
  /// tokens should cover at the current spending rate.
  Duration OutageCover = std::chrono::seconds(11);
  /// Idle tokens are topped up when they fall below this fraction of their
  /// target.
  double RefillFraction = 0.85;
  /// Fraction of the remaining budget that stays unallocated. Each holder may
  /// keep a part of the rest in proportion to its share of the spending; equal
  /// parts would leave most tokens on processes that get no requests for them.
  /// The unallocated part serves requests larger than a holder's idle tokens,
  /// and survives when all processes die at once.
  double UnallocatedFraction = 0.65;
  /// Below this fraction of the budget, the idle part of what remains shrinks
  /// in proportion to what remains. Otherwise the loss of all processes could
  /// leave nothing to spend.
  double ScarcityFraction = 0.4;
  /// Fraction that all holders with no spending keep together, for callers that
  /// move to another host.
  double MinIdleFraction = 0.05;
  /// A process is counted while its last record is no older than this.
  Duration ProcessTimeout = std::chrono::seconds(15);
  /// While no process is spending tokens, a holder keeps 1 / InitialDivisor of
  /// an equal part.
  double InitialDivisor = 2;
  /// While another process waits for tokens, a holder keeps at least
  /// 1 / ContendedDivisor of its maximum of idle tokens.
  Tokens ContendedDivisor = 8;
  /// How long a record counts as evidence that its process waits for tokens.
  /// Covers several reads of the log; requests themselves wait for less.
  Duration DemandTimeout = std::chrono::seconds(3);
  /// A process may have committed up to 1 / UnreportedDivisor of a budget more
  /// or less than its last record says. With ten processes, the total error
  /// stays below the 3% margin at the end of a budget.
  Tokens UnreportedDivisor = 400;
  /// Time constant of the spending rate. A home gets a request of a small team
  /// only once every few seconds.
  Duration RateWindow = std::chrono::seconds(12);
  /// Minimum time between two rounds when no request waits for tokens.
  Duration IdleRoundInterval = std::chrono::milliseconds(700);
  /// Minimum time between two rounds while a request waits for tokens.
  Duration PendingRoundInterval = std::chrono::milliseconds(15);
  /// Minimum time between two rounds while a request waits and the previous
  /// round obtained no tokens because other processes hold all of them.
  Duration StarvedRoundInterval = std::chrono::milliseconds(200);
  /// Maximum time between two reads of the log, to learn about the demand of
  /// other processes.
  Duration ReadInterval = std::chrono::milliseconds(1000);
  /// After the log was restored from a copy, how long no tokens are taken while
  /// processes state their shares again. Covers several reads of the log.
  Duration RestoreGrace = std::chrono::milliseconds(2500);
  /// Maximum age of the view of the log at which a request may be rejected
  /// because the budget is exhausted.
  Duration MaxViewAge = std::chrono::milliseconds(400);
};

} // namespace bergamothook

#endif
