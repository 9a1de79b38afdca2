/// \file
/// One process's allocation of the prepaid token budgets of all teams.
///
/// A process allocates tokens from a budget by appending a record to the log.
/// It can then spend them without further coordination, even while the log is
/// unavailable. The sum of all shares never exceeds the budget, because a
/// record is appended only if the log still ends where its writer had read to.
/// Shares never expire: a process that was suspended or disconnected resumes
/// with its share unchanged. Tokens held by a dead process count as spent.

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

/// The state of one team as shown in metrics and log events.
struct WalletView {
  Tokens Budget = 0;
  Tokens Held = 0;
  /// Maximum sum of spent and reserved tokens. Lower than Held while an append
  /// of a smaller value is unresolved.
  Tokens Limit = 0;
  Tokens Spent = 0;
  Tokens Reserved = 0;
  WalletShare Others;
};

/// Not thread-safe. The owner reads and writes the log in rounds: planRound(),
/// then one append at shareTable().end(), then one of onAppended(), onRefused()
/// or onUnanswered().
class Wallet {
public:
  Wallet(std::string Self, WalletPolicy Policy);

  /// Sets the budget of a team. \returns whether it changed.
  bool setBudget(const std::string &Team, Tokens Budget);

  /// The team has no budget any more: nothing more is reserved, and what is
  /// idle is returned. What was spent still counts if it gets one again.
  void forgetBudget(const std::string &Team);

  /// Reserves \p Amount for one request. WalletError::NotInHand counts it as
  /// pending demand until abandon() is called or a further call succeeds.
  Result<void> reserve(const std::string &Team, Tokens Amount, TimePoint Now);

  /// Removes \p Amount from the pending demand, because a request no longer
  /// waits for it.
  void abandon(const std::string &Team, Tokens Amount);

  /// Ends a reservation of \p Reserved tokens of which \p Spent were spent.
  void settle(const std::string &Team, Tokens Reserved, Tokens Spent,
              TimePoint Now);

  /// Applies records read from the log up to the offset \p End.
  void onRead(const std::vector<WalletRecord> &Records, std::uint64_t End,
              TimePoint Now);

  /// The log will be read from the start. Used when it has dropped records
  /// between the last one read and the first one retained.
  void rewind();

  /// The log is in the era \p Next, and will be read from the start. If this is
  /// not the first one, the log was restored from a copy: no tokens are taken
  /// until other processes have had the time to state their shares again.
  void beginEra(std::uint64_t Next);

  /// Applies what another process said of its own share in a message.
  void onNotice(const WalletRecord &Record);

  /// \returns the shares that this process holds.
  std::vector<WalletRecord> ownShares() const;

  bool isRoundDue(TimePoint Now) const;

  /// \returns the earliest time at which the next round may be due.
  TimePoint nextRound() const;

  /// \returns the records that this process should append. From this call on,
  /// spending is limited to what both the old and the new records allow.
  std::vector<WalletRecord> planRound(TimePoint Now);

  /// The records of the last planRound() were appended, and the log now ends at
  /// \p End.
  void onAppended(std::uint64_t End, TimePoint Now);

  /// The records were not appended and never will be.
  void onRefused();

  /// The outcome of the append is unknown. It is resolved by reading or
  /// appending past its offset.
  void onUnanswered();

  /// Sets whether this process keeps idle tokens for future requests, and how
  /// many processes do so. A process that does not returns its idle tokens.
  void setHolders(bool IsHolder, std::size_t Holders);

  /// \returns whether any tokens are idle, reserved or waited for.
  bool isInUse() const;

  /// Returns all tokens that are neither spent nor reserved, and allocates no
  /// more.
  void beginStop();

  const WalletShareTable &shareTable() const { return this->ShareTable; }
  const std::string &self() const { return this->Self; }
  bool isReady() const { return this->HasRead; }
  std::uint64_t era() const { return this->ShareTable.era(); }

  /// \returns the time since the log was last read to its end.
  Duration viewAge(TimePoint Now) const { return Now - this->ReadAt; }

  /// \returns whether any team has a budget.
  bool hasBudgets() const;

  WalletView view(const std::string &Team) const;
  std::vector<std::string> teams() const;

private:
  struct TeamAccount {
    std::optional<Tokens> Budget;
    Tokens Spent = 0;
    Tokens Reserved = 0;
    /// Held tokens according to the newest record known to be on the log.
    Tokens Held = 0;
    /// Minimum of the held tokens in all records whose append is unresolved.
    std::optional<Tokens> MinUnresolvedHeld;
    /// Sum of the tokens that requests wait for.
    Tokens PendingDemand = 0;
    Tokens LargestRequest = 0;
    /// Tokens per second.
    double Rate = 0;
    TimePoint RateUpdatedAt{};
    /// Time at which Rate last rose from zero.
    TimePoint RateStartedAt{};
    Tokens CommittedOnLog = 0;
    Tokens UnmetDemandOnLog = 0;

    Tokens committed() const { return this->Spent + this->Reserved; }
    Tokens limit() const;
  };

  struct IdleBounds {
    Tokens Min = 0;
    Tokens Max = 0;
  };

  Tokens availableFor(const std::string &Team,
                      const TeamAccount &Account) const;
  Tokens idleTarget(const std::string &Team, const TeamAccount &Account,
                    Tokens Available, TimePoint Now) const;
  /// \returns the tokens that requests of other processes recently waited for.
  Tokens unmetDemandOfOthers(const std::string &Team, TimePoint Now) const;
  /// \returns the tokens that requests wait for and that only other processes
  /// hold.
  Tokens unmetDemand(const std::string &Team, const TeamAccount &Account) const;
  Tokens heldTarget(const std::string &Team, const TeamAccount &Account,
                    TimePoint Now) const;
  bool needsRecord(const std::string &Team, const TeamAccount &Account,
                   TimePoint Now) const;
  bool hasPendingDemand() const;
  bool isInGrace(TimePoint Now) const { return Now < this->GraceEnd; }
  void refreshFromLog();
  double decayedRate(const TeamAccount &Account, TimePoint Now) const;
  double rateOf(const TeamAccount &Account, TimePoint Now) const;
  void addToRate(TeamAccount &Account, Tokens Amount, TimePoint Now) const;
  /// \returns the range of idle tokens that this process keeps out of those
  /// that no other process holds.
  IdleBounds idleBounds(const std::string &Team, const TeamAccount &Account,
                        Tokens Available, TimePoint Now) const;

  std::string Self;
  WalletPolicy Policy;
  WalletShareTable ShareTable;
  std::map<std::string, TeamAccount> Accounts;
  std::vector<WalletRecord> InFlight;
  /// The offset of the last append while its outcome is unknown.
  std::optional<std::uint64_t> UnresolvedOffset;
  TimePoint ReadAt{};
  TimePoint LastRound{};
  /// Number of processes that keep idle tokens.
  std::size_t Holders = 1;
  bool IsHolder = true;
  /// Set if requests wait and the last round obtained no tokens for them.
  bool WasStarved = false;
  bool HasRead = false;
  bool HasEra = false;
  /// The log was restored, and has not been read since.
  bool IsRestored = false;
  /// Until then, no tokens are taken.
  TimePoint GraceEnd{};
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
