/// \file
/// How much of a budget a process keeps in hand for requests to come.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETPOLICY_H
#define BERGAMOTHOOK_LIBWALLET_WALLETPOLICY_H

#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

namespace bergamothook {

/// What a process that dies takes with it is what it had in hand, and what it
/// can serve while the log is out is the same: these settings weigh the two.
/// None of them can cause overspending.
struct WalletPolicy {
  /// The spending that tokens in hand should cover: an outage of the log, or a
  /// cut from it, in which requests are still served.
  Duration Cover = std::chrono::seconds(11);
  /// The part of what should be in hand below which more is taken.
  double RefillBelow = 0.85;
  /// Of what is left, each holder may keep its part of the spending in hand.
  /// Equal parts would leave most of the tokens where nobody asks for them.
  /// FreePart is in nobody's hand: for requests larger than what is in hand,
  /// and because what is in hand is lost when all processes die at once.
  double FreePart = 0.65;
  /// The part of a budget below which the part in hand shrinks with what is
  /// left: a loss of all processes would leave nothing to go on with.
  double ScarceBelow = 0.4;
  /// What all holders without any spending keep together, for callers who move.
  double LeastPart = 0.05;
  /// A process counts while its last record is not older.
  Duration ProcessLifetime = std::chrono::seconds(15);
  /// While nobody has spent, a holder keeps 1 / StartDivisor of an equal part.
  double StartDivisor = 2;
  /// The least that is kept of that while another process waits for tokens, as
  /// a part.
  Tokens WantedDivisor = 8;
  /// How long a record says that its process waits for tokens. Some reads of
  /// the log; the requests themselves wait shorter.
  Duration WantedLifetime = std::chrono::seconds(3);
  /// The part of a budget, 1 / UnseenDivisor, by which what a process committed
  /// may differ from what its last record says. Ten processes are then wrong by
  /// less than the three per cent that are the room at the end of a budget.
  Tokens UnseenDivisor = 400;
  /// The time constant of the rate of spending. A home sees a request of a
  /// small team once in some seconds.
  Duration RateWindow = std::chrono::seconds(12);
  /// The least time between two rounds that nobody waits for.
  Duration CalmInterval = std::chrono::milliseconds(700);
  /// The least time between two rounds while a request waits for tokens.
  Duration UrgentInterval = std::chrono::milliseconds(15);
  /// The same where the round before brought nothing: others hold it all.
  Duration VainInterval = std::chrono::milliseconds(200);
  /// How often the log is read where nothing else asks for it, to see what
  /// others wait for.
  Duration ReadInterval = std::chrono::milliseconds(1000);
  /// How old the view of the log may be when a request is refused because the
  /// budget is used up.
  Duration FreshView = std::chrono::milliseconds(400);
};

} // namespace bergamothook

#endif
