/// \file
/// Several wallets on one log whose answers get lost, come late, or never.

#ifndef BERGAMOTHOOK_TESTS_LIBWALLET_WALLETFLEET_H
#define BERGAMOTHOOK_TESTS_LIBWALLET_WALLETFLEET_H

#include "LibBase/Random.h"
#include "LibWallet/Wallet.h"

#include <deque>
#include <memory>

namespace bergamothook {

/// A log with appends at a stated end.
class FakeWalletLog {
public:
  /// Appends if the log ends at \p At.
  bool appendAt(std::uint64_t At, std::vector<WalletRecord> Records) {
    if (At != this->Records.size())
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

private:
  std::vector<WalletRecord> Records;
};

/// What one process has spent, also after its death.
struct FakeProcess {
  explicit FakeProcess(std::string Name) : Purses(std::move(Name), {}) {}

  Wallet Purses;
  /// Reservations under way.
  std::deque<Tokens> Open;
  Tokens Spent = 0;
  Tokens Reserved = 0;
  bool IsDead = false;
};

/// Plays random steps. After each, spent + set aside of all processes, dead
/// ones among them, is at most the budget.
class WalletFleet {
public:
  /// Seeds differ in the size of requests, so that budgets are plentiful in
  /// some runs and used up in others.
  explicit WalletFleet(std::uint64_t Seed) : Dice(Seed) {
    constexpr std::uint64_t Sizes[] = {1'500, 5'000, 20'000, 100'000};
    this->Largest = Sizes[Seed % std::size(Sizes)];
  }

  void start() {
    auto Made = std::make_unique<FakeProcess>(
        "p" + std::to_string(this->Processes.size()));
    Made->Purses.setBudget("team", this->Budget);
    this->Processes.push_back(std::move(Made));
  }

  /// One random step of one random process.
  void step();

  Tokens committed() const {
    Tokens Sum = 0;
    for (const auto &Each : this->Processes)
      Sum += Each->Spent + Each->Reserved;
    return Sum;
  }

  /// What all processes together could spend without a further word.
  Tokens limits() const {
    Tokens Sum = 0;
    for (const auto &Each : this->Processes)
      Sum += Each->Purses.view("team").Limit;
    return Sum;
  }

  /// Lets every living process settle everything and run rounds on a log that
  /// is well.
  void calm(int Rounds);

  /// Lets every living process run one round on a log that is well.
  void runRounds();

  Tokens Budget = 1'000'000;
  FakeWalletLog Log;
  std::vector<std::unique_ptr<FakeProcess>> Processes;
  Random Dice;
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Granted = 0;
  std::uint64_t Largest = 0;

private:
  /// An append that nobody was answered, and that may land later.
  struct LateAppend {
    std::uint64_t At = 0;
    std::vector<WalletRecord> Records;
  };

  void reserve(FakeProcess &Of);
  void settle(FakeProcess &Of);
  void round(FakeProcess &Of, bool IsLogWell);
  void landLate();

  std::vector<LateAppend> Late;
};

/// Hosts of which the first gets all requests of a team: one of 200 tokens each
/// tenth of a second.
class SteadyLoad {
public:
  SteadyLoad(int Hosts, Tokens Budget);

  /// Serves requests for \p Span, with or without the log.
  void run(Duration Span, bool IsLogWell);

  Tokens spent() const;
  /// What all hosts hold by their records on the log.
  Tokens heldOnLog() const;

  int Refused = 0;

private:
  FakeWalletLog Log;
  std::vector<std::unique_ptr<Wallet>> Hosts;
  TimePoint Now{std::chrono::hours(1)};
};

/// Runs one round of \p Of on a log that is well.
void runWalletRound(Wallet &Of, FakeWalletLog &Log, TimePoint Now);

} // namespace bergamothook

#endif
