/// \file
/// Runs the rounds of a wallet on the log, and lets requests wait for tokens.

#ifndef BERGAMOTHOOK_LIBLOAN_WALLETSERVICE_H
#define BERGAMOTHOOK_LIBLOAN_WALLETSERVICE_H

#include "LibTask/Runtime.h"
#include "LibWallet/Wallet.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>

namespace bergamothook {

/// What was read of the wallets' log.
struct WalletPage {
  std::vector<WalletRecord> Records;
  /// The offset behind the last record.
  std::uint64_t End = 0;
};

enum class WalletAppend {
  Done,
  /// Not appended, and never will be.
  Refused,
  /// Not appended: the log does not end where the writer thought.
  Moved,
  /// Nobody knows.
  Unanswered,
};

/// Calls of the log that holds the wallets. Each blocks the calling task.
struct WalletLog {
  /// Reads everything from \p From on. std::errc::result_out_of_range when
  /// records at \p From are gone.
  std::function<Result<WalletPage>(std::uint64_t From)> Read;
  /// Reads the newest record of each key.
  std::function<Result<WalletPage>()> ReadNewest;
  /// Appends all records, provided that the log ends at \p At.
  std::function<WalletAppend(std::uint64_t At,
                             const std::vector<WalletRecord> &Records)>
      AppendAt;
};

/// One wallet with its task. It reads and writes the log only while its tokens
/// are asked for here, or this process is to keep some ahead of need. All calls
/// come from tasks of one runtime.
class WalletService {
public:
  WalletService(std::string Self, WalletPolicy Policy, WalletLog Log,
                Runtime Tasks);

  /// Reads the log and runs rounds until stop(). A task of its own.
  void run();

  /// Hands back what is in hand, without waiting for it.
  void beginStop();

  /// Hands back what is in hand; waits until that is on the log, at most until
  /// \p Deadline.
  void stop(TimePoint Deadline);

  /// Sets tokens aside, waiting for them until \p Deadline or until \p
  /// IsGivenUp holds.
  Result<void> reserve(const std::string &Team, Tokens Amount,
                       TimePoint Deadline,
                       const std::function<bool()> &IsGivenUp);

  /// Sets tokens aside if they are in hand, without waiting.
  Result<void> reserveNow(const std::string &Team, Tokens Amount);

  void settle(const std::string &Team, Tokens Reserved, Tokens Spent);

  /// States whether this process keeps tokens ahead of need, and how many
  /// processes do so.
  void setHolders(bool IsHolder, std::size_t Holders);

  /// Tells whether calls of the log succeed, as far as is known.
  bool isLogLost() const { return this->IsLogLost; }

  /// \returns whether that is another budget than before.
  bool setBudget(const std::string &Team, Tokens Budget);

  Wallet &wallet() { return this->Purses; }

private:
  void runRound();
  bool catchUp();
  void noteLog(bool IsLost);
  bool isActive(TimePoint Now) const;
  void wake();
  nlohmann::json describeTeams() const;

  Wallet Purses;
  WalletLog Log;
  Runtime Tasks;
  Event Wanted;
  Event Changed;
  /// The teams whose requests wait in vain.
  std::map<std::string, TimePoint> StarvedUntil;
  /// Set while the last call of the log failed.
  bool IsLogLost = false;
  bool IsHolder = false;
  /// Until when the log is followed because tokens were asked for.
  TimePoint ActiveUntil{};
  bool IsStopping = false;
  bool IsDrained = false;
};

} // namespace bergamothook

#endif
