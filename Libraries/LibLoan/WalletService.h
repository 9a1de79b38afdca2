/// \file
/// Synchronizes a wallet with the log, and lets requests wait for tokens.

#ifndef BERGAMOTHOOK_LIBLOAN_WALLETSERVICE_H
#define BERGAMOTHOOK_LIBLOAN_WALLETSERVICE_H

#include "LibTask/Runtime.h"
#include "LibWallet/Wallet.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>

namespace bergamothook {

/// Records read from the log of wallets.
struct WalletPage {
  std::vector<WalletRecord> Records;
  /// The offset past the last record.
  std::uint64_t End = 0;
  /// The era of the log; see WalletShare.
  std::uint64_t Era = 0;
};

enum class WalletAppend {
  Done,
  /// Not appended, and it never will be.
  Refused,
  /// Not appended, because the log does not end at the expected offset.
  Moved,
  /// Appended in another era than the one that was read.
  OtherEra,
  /// The outcome is unknown.
  Unanswered,
};

/// Operations of the log of wallets. Each blocks the calling task.
struct WalletLog {
  /// Reads all records from \p From on. \returns std::errc::result_out_of_range
  /// if the records at \p From were dropped.
  std::function<Result<WalletPage>(std::uint64_t From)> Read;
  /// Reads the newest record of each key.
  std::function<Result<WalletPage>()> ReadNewest;
  /// Appends all records if the log ends at \p At.
  std::function<WalletAppend(std::uint64_t At,
                             const std::vector<WalletRecord> &Records)>
      AppendAt;
};

/// One wallet with its task. It reads and writes the log only while tokens are
/// requested here, or while this process keeps idle tokens. All calls must come
/// from tasks of one runtime.
class WalletService {
public:
  WalletService(std::string Self, WalletPolicy Policy, WalletLog Log,
                Runtime Tasks);

  /// Reads the log and runs rounds until stop(). Runs in its own task.
  void run();

  /// Starts returning idle tokens, without waiting for the log.
  void beginStop();

  /// Returns idle tokens; waits until that is on the log, at most until
  /// \p Deadline.
  void stop(TimePoint Deadline);

  /// Reserves tokens, waiting for them until \p Deadline or until
  /// \p IsCancelled returns true.
  Result<void> reserve(const std::string &Team, Tokens Amount,
                       TimePoint Deadline,
                       const std::function<bool()> &IsCancelled);

  /// Reserves tokens if this process holds them, without waiting.
  Result<void> reserveNow(const std::string &Team, Tokens Amount);

  void settle(const std::string &Team, Tokens Reserved, Tokens Spent);

  /// Sets whether this process keeps idle tokens for future requests, and how
  /// many processes do so.
  void setHolders(bool IsHolder, std::size_t Holders);

  /// \returns whether the last call of the log failed.
  bool isLogLost() const { return this->IsLogLost; }

  /// \returns whether the budget changed.
  bool setBudget(const std::string &Team, Tokens Budget);
  /// See Wallet::forgetBudget().
  void forgetBudget(const std::string &Team);

  Wallet &wallet() { return this->LocalWallet; }

  /// Sets what to call after records of this process were appended.
  void setOnAppended(
      std::function<void(const std::vector<WalletRecord> &)> Callback) {
    this->OnAppended = std::move(Callback);
  }

private:
  void runRound();
  /// \returns the records of this process with their offsets, after they were
  /// appended.
  std::vector<WalletRecord>
  ownAppended(std::vector<WalletRecord> Records) const;
  bool readLog();
  void setLogLost(bool IsLost);
  bool isActive(TimePoint Now) const;
  void activate();
  nlohmann::json describeTeams() const;

  Wallet LocalWallet;
  WalletLog Log;
  Runtime Tasks;
  std::function<void(const std::vector<WalletRecord> &)> OnAppended =
      [](const std::vector<WalletRecord> &) {};
  Event WorkAvailable;
  Event StateChanged;
  /// Until when requests of a team fail without waiting, because an earlier one
  /// waited and got no tokens.
  std::map<std::string, TimePoint> StarvedUntil;
  /// Set while the last call of the log failed.
  bool IsLogLost = false;
  bool IsHolder = false;
  /// Until when the log is read because tokens were requested.
  TimePoint ActiveUntil{};
  bool IsStopping = false;
  bool IsDrained = false;
};

} // namespace bergamothook

#endif
