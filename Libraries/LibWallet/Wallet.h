/// \file
/// The prepaid budgets of all teams as one process spends them.
///
/// A process takes tokens out of a budget with a record on the log and spends
/// them without a further word, also while the log is out. The sum of all
/// shares never passes the budget, since a record is appended only at the exact
/// end of the log that its writer had read. Nothing is ever taken from a
/// process because time passed: one that was frozen or cut off wakes with its
/// share as it was. What a dead process held counts as spent.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLET_H
#define BERGAMOTHOOK_LIBWALLET_WALLET_H

#include "LibBase/Time.h"
#include "LibWallet/WalletError.h"
#include "LibWallet/WalletPolicy.h"
#include "LibWallet/WalletShareTable.h"

#include <map>
#include <optional>
#include <vector>

namespace bergamothook {

/// What the metrics show of one team.
struct WalletView {
  Tokens Budget = 0;
  Tokens Held = 0;
  /// What may be spent and set aside in all; below Held while a smaller record
  /// may be on the log.
  Tokens Limit = 0;
  Tokens Spent = 0;
  Tokens Reserved = 0;
  WalletShare Others;
};

/// Not thread-safe. The owner reads and writes the log in rounds:
/// planRound(), then one append at book().end(), then one of onAppended(),
/// onRefused() or onUnanswered().
class Wallet {
public:
  Wallet(std::string Self, WalletPolicy Policy);

  /// States the budget of a team. \returns whether it is another than before.
  bool setBudget(const std::string &Team, Tokens Budget);

  /// Sets \p Amount aside for one request. WalletError::NotInHand counts it as
  /// wanted until abandon() is called or a further call succeeds.
  Result<void> reserve(const std::string &Team, Tokens Amount, TimePoint Now);

  /// Takes notice that a request no longer waits for \p Amount.
  void abandon(const std::string &Team, Tokens Amount);

  /// Ends a reservation of \p Reserved tokens of which \p Spent were spent.
  void settle(const std::string &Team, Tokens Reserved, Tokens Spent,
              TimePoint Now);

  /// Takes records that were read from the log, up to the offset \p End.
  void onRead(const std::vector<WalletRecord> &Records, std::uint64_t End,
              TimePoint Now);

  /// Starts again from an empty book, because records between the last read and
  /// the first retained one are gone.
  void clearShareTable();

  /// Tells whether a round is due.
  bool isRoundDue(TimePoint Now) const;

  /// Gives the time at which the next round may be due.
  TimePoint nextRound() const;

  /// Gives the records of this process that should be on the log. From here on
  /// it spends no more than both the old and the new records allow.
  std::vector<WalletRecord> planRound(TimePoint Now);

  /// The records of the last planRound() are on the log, which now ends at
  /// \p End.
  void onAppended(std::uint64_t End, TimePoint Now);

  /// They are not on the log, and never will be.
  void onRefused();

  /// Nobody knows; reading or writing behind them will tell.
  void onUnanswered();

  /// States whether this process keeps tokens ahead of need, and how many
  /// processes do so. One that does not gives back what is not asked for.
  void setHolders(bool IsHolder, std::size_t Holders);

  /// Tells whether anything is in hand, set aside or waited for.
  bool isInUse() const;

  /// Hands back everything that is not spent or set aside; nothing more is
  /// taken.
  void beginStop();

  const WalletShareTable &shareTable() const { return this->ShareTable; }
  const std::string &self() const { return this->Self; }
  bool isReady() const { return this->HasRead; }

  /// Tells how long ago the log was read to its end.
  Duration viewAge(TimePoint Now) const { return Now - this->ReadAt; }

  bool hasTeams() const { return !this->Purses.empty(); }

  WalletView view(const std::string &Team) const;
  std::vector<std::string> teams() const;

private:
  struct Purse {
    std::optional<Tokens> Budget;
    Tokens Spent = 0;
    Tokens Reserved = 0;
    /// What the log allows, by the newest record that is known to be there.
    Tokens Held = 0;
    /// The least that any record allows whose append is unresolved.
    std::optional<Tokens> HeldIfLanded;
    /// The sum of what requests wait for.
    Tokens Wanted = 0;
    Tokens Largest = 0;
    /// Tokens a second.
    double Rate = 0;
    TimePoint RateAt{};
    /// When the spending began.
    TimePoint RateSince{};
    Tokens CommittedOnLog = 0;
    Tokens WantedOnLog = 0;

    Tokens committed() const { return this->Spent + this->Reserved; }
    Tokens limit() const;
  };

  struct IdleBounds {
    Tokens Least = 0;
    Tokens Most = 0;
  };

  Tokens freeFor(const std::string &Team, const Purse &Own) const;
  Tokens idleTarget(const std::string &Team, const Purse &Own, Tokens Free,
                    TimePoint Now) const;
  /// What requests of other processes lately waited for.
  Tokens wantedByOthers(const std::string &Team, TimePoint Now) const;
  /// What requests wait for and nobody but other processes has.
  Tokens missing(const std::string &Team, const Purse &Own) const;
  Tokens heldTarget(const std::string &Team, const Purse &Own,
                    TimePoint Now) const;
  bool needsRecord(const std::string &Team, const Purse &Own,
                   TimePoint Now) const;
  bool isWanted() const;
  void resolve();
  double decayedRate(const Purse &Own, TimePoint Now) const;
  double rateOf(const Purse &Own, TimePoint Now) const;
  void addToRate(Purse &Own, Tokens Amount, TimePoint Now) const;
  /// What this process keeps in hand of what no other has taken.
  IdleBounds idleBounds(const std::string &Team, const Purse &Own, Tokens Free,
                        TimePoint Now) const;

  std::string Self;
  WalletPolicy Policy;
  WalletShareTable ShareTable;
  std::map<std::string, Purse> Purses;
  std::vector<WalletRecord> OnWay;
  /// Where the last append was to land, while nobody knows whether it did.
  std::optional<std::uint64_t> UnresolvedAt;
  TimePoint ReadAt{};
  TimePoint LastRound{};
  /// The processes that keep tokens ahead of need.
  std::size_t Holders = 1;
  bool IsHolder = true;
  /// Set when the last round brought nothing for who waits.
  bool WasInVain = false;
  bool HasRead = false;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
