/// \file
/// Simulation of several wallets that share a log with lost and delayed
/// appends.

#ifndef BERGAMOTHOOK_TESTS_LIBWALLET_WALLETFLEET_H
#define BERGAMOTHOOK_TESTS_LIBWALLET_WALLETFLEET_H

#include "LibBase/Random.h"
#include "LibWallet/Wallet.h"

#include <deque>
#include <memory>

namespace bergamothook {

/// An in-memory log with conditional appends.
class FakeWalletLog {
public:
  /// Appends if the log ends at \p ExpectedEnd. \returns whether it did.
  bool appendAt(std::uint64_t ExpectedEnd, std::vector<WalletRecord> Records) {
    if (ExpectedEnd != this->Records.size())
      return false;
    for (WalletRecord &Record : Records) {
      Record.Offset = this->Records.size();
      this->Records.push_back(Record);
    }
    return true;
  }

  std::vector<WalletRecord> readFrom(std::uint64_t From) const {
    return {this->Records.begin() + static_cast<std::ptrdiff_t>(From),
            this->Records.end()};
  }

  std::uint64_t end() const { return this->Records.size(); }

  /// Loses all records from \p End on; their offsets are given out again.
  void restore(std::uint64_t End) {
    this->Records.resize(End);
    ++this->Era;
  }

  std::uint64_t era() const { return this->Era; }

private:
  std::vector<WalletRecord> Records;
  std::uint64_t Era = 0;
};

/// One process with its wallet and what it has spent. Kept after its death.
struct FakeProcess {
  explicit FakeProcess(std::string Name) : ProcessWallet(std::move(Name), {}) {}

  Wallet ProcessWallet;
  /// Reservations in progress.
  std::deque<Tokens> OpenReservations;
  Tokens Spent = 0;
  Tokens Reserved = 0;
  bool IsDead = false;
};

/// Runs random steps. After each, the sum of spent and reserved tokens of all
/// processes, including dead ones, must not exceed the budget.
class WalletFleet {
public:
  /// The maximum request size depends on the seed, so that the budget is
  /// exhausted in some runs only.
  explicit WalletFleet(std::uint64_t Seed) : Rng(Seed) {
    constexpr std::uint64_t MaxRequestSizes[] = {1'500, 5'000, 20'000, 100'000};
    this->MaxRequest = MaxRequestSizes[Seed % std::size(MaxRequestSizes)];
  }

  void start() {
    auto Started = std::make_unique<FakeProcess>(
        "p" + std::to_string(this->Processes.size()));
    Started->ProcessWallet.setBudget("team", this->Budget);
    this->Processes.push_back(std::move(Started));
  }

  /// Runs one random step of one random process.
  void step();

  Tokens committed() const {
    Tokens Sum = 0;
    for (const auto &Each : this->Processes)
      Sum += Each->Spent + Each->Reserved;
    return Sum;
  }

  /// \returns what all processes together can spend without further records.
  Tokens limits() const {
    Tokens Sum = 0;
    for (const auto &Each : this->Processes)
      Sum += Each->ProcessWallet.view("team").Limit;
    return Sum;
  }

  /// Restores the log from a copy that lacks up to \p MaxLost records.
  void restoreLog(std::uint64_t MaxLost) {
    std::uint64_t Lost = this->Rng.below(MaxLost + 1);
    this->Log.restore(this->Log.end() - std::min(Lost, this->Log.end()));
  }

  /// Settles all requests of live processes, then runs rounds with the log
  /// available.
  void quiesce(int Rounds);

  /// Runs one round of every live process with the log available, \p After the
  /// last step.
  void runRounds(Duration After = std::chrono::seconds(1));

  Tokens Budget = 1'000'000;
  FakeWalletLog Log;
  std::vector<std::unique_ptr<FakeProcess>> Processes;
  Random Rng;
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Granted = 0;
  std::uint64_t MaxRequest = 0;
  /// Processes die in step().
  bool HasDeaths = true;

private:
  /// An unanswered append that may take effect later.
  struct DelayedAppend {
    std::uint64_t ExpectedEnd = 0;
    std::vector<WalletRecord> Records;
  };

  /// Reads the log from where the process has read to, or all of it.
  void read(FakeProcess &Process);
  void reserve(FakeProcess &Process);
  void settle(FakeProcess &Process);
  void runRound(FakeProcess &Process, bool IsLogAvailable);
  void applyDelayedAppend();

  std::vector<DelayedAppend> DelayedAppends;
};

/// A steady load on the first of several hosts: one request of 200 tokens every
/// 100 ms.
class SteadyLoad {
public:
  SteadyLoad(int Hosts, Tokens Budget);

  /// Sends requests for \p Span, with the log available or not.
  void run(Duration Span, bool IsLogAvailable);

  Tokens spent() const;
  /// \returns what all hosts hold according to the log.
  Tokens heldOnLog() const;

  int Refused = 0;

private:
  FakeWalletLog Log;
  std::vector<std::unique_ptr<Wallet>> Hosts;
  TimePoint Now{std::chrono::hours(1)};
};

/// Runs one round of \p Appender with the log available.
void runWalletRound(Wallet &Appender, FakeWalletLog &Log, TimePoint Now);

} // namespace bergamothook

#endif
