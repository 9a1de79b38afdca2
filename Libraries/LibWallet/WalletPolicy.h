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
  Duration Cover = std::chrono::seconds(9);
  /// What one process may keep in hand of what nobody has taken is 1 / (number
  /// of processes), and at most 1 / LeastProcesses.
  std::size_t LeastProcesses = 6;
  /// A process counts for that while its last record is not older.
  Duration ProcessLifetime = std::chrono::seconds(15);
  /// What a process keeps where nothing was spent yet, as a part of the above.
  Tokens StartDivisor = 4;
  /// What is left of that while another process waits for tokens, as a part.
  Tokens WantedDivisor = 8;
  /// How long a record says that its process waits for tokens. Some reads of
  /// the log; the requests themselves wait shorter.
  Duration WantedLifetime = std::chrono::seconds(3);
  /// The part of a budget, 1 / UnseenDivisor, by which what a process committed
  /// may differ from what its last record says. Ten processes are then wrong by
  /// less than the three per cent that are the room at the end of a budget.
  Tokens UnseenDivisor = 400;
  /// The time constant of the rate of spending.
  Duration RateWindow = std::chrono::seconds(4);
  /// The least time between two rounds that nobody waits for.
  Duration CalmInterval = std::chrono::milliseconds(700);
  /// The least time between two rounds while a request waits for tokens.
  Duration UrgentInterval = std::chrono::milliseconds(15);
  /// How often the log is read where nothing else asks for it, to see what
  /// others wait for.
  Duration ReadInterval = std::chrono::milliseconds(1000);
  /// How old the view of the log may be when a request is refused because the
  /// budget is used up.
  Duration FreshView = std::chrono::milliseconds(400);
};

} // namespace bergamothook

#endif
