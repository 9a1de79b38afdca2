#include "WalletFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};

} // namespace

TEST_CASE(
    "no overspending with lost answers, dead processes and late appends") {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    WalletFleet Fleet(Seed);
    for (int I = 0; I < 4; ++I)
      Fleet.start();
    for (int I = 0; I < 1500; ++I) {
      Fleet.step();
      CAPTURE(Seed);
      CAPTURE(I);
      REQUIRE(Fleet.committed() <= Fleet.limits());
      REQUIRE(Fleet.limits() <= Fleet.Budget);
    }
    CHECK(Fleet.Granted > 20);
  }
}

TEST_CASE(
    "teams do not overspend after the log was restored from an older copy") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    WalletFleet Fleet(Seed);
    Fleet.HasDeaths = false;
    for (int I = 0; I < 4; ++I)
      Fleet.start();
    for (int Restores = 0; Restores < 5; ++Restores) {
      for (int I = 0; I < 100; ++I) {
        Fleet.step();
        CAPTURE(Seed);
        CAPTURE(Restores);
        REQUIRE(Fleet.committed() <= Fleet.Budget);
      }
      Fleet.restoreLog(12);
      Fleet.runRounds(200ms);
    }
  }
}

TEST_CASE("a waiting request obtains a fragmented remaining budget") {
  int SeedsChecked = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    WalletFleet Fleet(Seed);
    for (int I = 0; I < 4; ++I)
      Fleet.start();
    for (int I = 0; I < 300; ++I)
      Fleet.step();
    Fleet.quiesce(5);
    Tokens Left = Fleet.Budget;
    FakeProcess *Waiter = nullptr;
    for (const auto &Each : Fleet.Processes)
      if (!Each->IsDead)
        Waiter = Each.get();
    REQUIRE(Waiter);
    for (const auto &Each : Fleet.Processes)
      Left -= Each->IsDead ? Waiter->ProcessWallet.shareTable()
                                 .shareOf({"team", Each->ProcessWallet.self()})
                                 .Held
                           : Each->Spent;
    if (Left < 10'000)
      continue;
    ++SeedsChecked;
    bool IsGranted = false;
    for (int I = 0; I < 5 && !IsGranted; ++I) {
      IsGranted = Waiter->ProcessWallet.reserve("team", Left / 2, Fleet.Now)
                      .has_value();
      Fleet.runRounds();
      if (!IsGranted)
        Waiter->ProcessWallet.abandon("team", Left / 2);
    }
    CAPTURE(Seed);
    CHECK(IsGranted);
  }
  CHECK(SeedsChecked > 0);
}

TEST_CASE("a suspended process resumes with its share, and no more") {
  FakeWalletLog Log;
  Wallet Frozen("a", {});
  Wallet Other("b", {});
  Frozen.setBudget("team", 1000);
  Other.setBudget("team", 1000);
  runWalletRound(Frozen, Log, Begin);
  Tokens Held = Frozen.view("team").Held;
  REQUIRE(Held > 0);
  Other.onRead(Log.readFrom(0), Log.end(), Begin);
  CHECK(Other.reserve("team", 1000 - Held, Begin).error() ==
        WalletError::NotInHand);
  runWalletRound(Other, Log, Begin + 1s);
  CHECK(Other.reserve("team", 1000 - Held, Begin + 1s));
  CHECK(Frozen.reserve("team", Held, Begin + 1h));
  CHECK_FALSE(Frozen.reserve("team", 1, Begin + 1h));
}

TEST_CASE("the budget counts as exhausted only on a recent view of the log") {
  FakeWalletLog Log;
  Wallet LocalWallet("a", {});
  LocalWallet.setBudget("team", 1000);
  runWalletRound(LocalWallet, Log, Begin);
  CHECK(LocalWallet.reserve("team", 1001, Begin).error() ==
        WalletError::Exhausted);
  CHECK(LocalWallet.reserve("team", 1001, Begin + 1min).error() ==
        WalletError::NotInHand);
}

// Guards against a refusal for good that rests on a budget that is not known.
TEST_CASE("a budget that is not known does not count as exhausted") {
  FakeWalletLog Log;
  Wallet LocalWallet("a", {});
  runWalletRound(LocalWallet, Log, Begin);
  CHECK(LocalWallet.reserve("team", 1, Begin).error() == WalletError::NoBudget);
}

// Guards against tokens of a team being held, and spent, after its budget has
// been taken away.
TEST_CASE("a budget that is taken away gives its idle tokens back, and keeps "
          "count of what was spent") {
  FakeWalletLog Log;
  Wallet LocalWallet("a", {});
  LocalWallet.setBudget("team", 1000);
  runWalletRound(LocalWallet, Log, Begin);
  REQUIRE(LocalWallet.reserve("team", 30, Begin));
  REQUIRE(LocalWallet.reserve("team", 20, Begin));
  LocalWallet.settle("team", 30, 25, Begin);
  LocalWallet.forgetBudget("team");
  CHECK_FALSE(LocalWallet.hasBudgets());
  CHECK(LocalWallet.isInUse());
  CHECK(LocalWallet.reserve("team", 1, Begin).error() == WalletError::NoBudget);
  runWalletRound(LocalWallet, Log, Begin + 1s);
  CHECK(LocalWallet.view("team").Held == 45);
  LocalWallet.settle("team", 20, 20, Begin + 1s);
  runWalletRound(LocalWallet, Log, Begin + 2s);
  CHECK_FALSE(LocalWallet.isInUse());
  LocalWallet.setBudget("team", 100);
  runWalletRound(LocalWallet, Log, Begin + 3s);
  CHECK(LocalWallet.view("team").Spent == 45);
  CHECK(LocalWallet.reserve("team", 56, Begin + 3s).error() ==
        WalletError::Exhausted);
}

TEST_CASE("nothing is reserved before the log was read") {
  Wallet LocalWallet("a", {});
  LocalWallet.setBudget("team", 1000);
  CHECK(LocalWallet.reserve("team", 1, Begin).error() == WalletError::NotReady);
}

TEST_CASE("a stop returns unspent tokens") {
  FakeWalletLog Log;
  Wallet LocalWallet("a", {});
  LocalWallet.setBudget("team", 1'000'000);
  runWalletRound(LocalWallet, Log, Begin);
  REQUIRE(LocalWallet.reserve("team", 1000, Begin));
  LocalWallet.settle("team", 1000, 600, Begin);
  LocalWallet.beginStop();
  runWalletRound(LocalWallet, Log, Begin + 1s);
  CHECK(LocalWallet.shareTable().shareOf({"team", "a"}).Held == 600);
  CHECK(LocalWallet.shareTable().shareOf({"team", "a"}).Committed == 600);
  CHECK(LocalWallet.planRound(Begin + 1min).empty());
}

TEST_CASE("idle tokens cover a log outage on the host with the callers") {
  // Six hosts, one of which gets all requests of a team (2,000 tokens per
  // second), because callers stay with a host. After 7 s the log is unavailable
  // for 9 s. The budget is four times the total spending.
  SteadyLoad Load(6, 4 * 16 * 2000);
  Load.run(7s, true);
  CHECK(Load.Refused == 0);
  Load.run(9s, false);
  CHECK(Load.Refused == 0);
}

TEST_CASE("if all hosts die, half of the remaining budget stays spendable") {
  // 2,000 tokens per second on one of six hosts; the budget lasts for 10 s more
  // when all hosts are killed.
  SteadyLoad Load(6, 40'000);
  Load.run(10s, true);
  CHECK(Load.Refused == 0);
  CHECK(Load.heldOnLog() <= 40'000 - (40'000 - Load.spent()) / 2);
}

TEST_CASE("a raised budget is usable, but tokens of other holders are not") {
  FakeWalletLog Log;
  Wallet First("a", {});
  Wallet Second("b", {});
  First.setBudget("team", 1000);
  Second.setBudget("team", 1000);
  runWalletRound(First, Log, Begin);
  CHECK(First.reserve("team", 900, Begin).error() == WalletError::NotInHand);
  runWalletRound(First, Log, Begin + 1s);
  REQUIRE(First.reserve("team", 900, Begin + 1s));
  Second.onRead(Log.readFrom(0), Log.end(), Begin + 1s);
  CHECK(Second.reserve("team", 500, Begin + 1s).error() ==
        WalletError::NotInHand);
  Second.abandon("team", 500);
  Second.setBudget("team", 2000);
  CHECK(Second.reserve("team", 500, Begin + 1s).error() ==
        WalletError::NotInHand);
  runWalletRound(Second, Log, Begin + 2s);
  CHECK(Second.reserve("team", 500, Begin + 2s));
}

TEST_CASE(
    "the idle part of a budget does not depend on the number of holders") {
  // All holders spend at the same rate, and the remaining budget lasts for
  // some seconds.
  for (int Count : {1, 3, 5}) {
    FakeWalletLog Log;
    std::vector<std::unique_ptr<Wallet>> Holders;
    constexpr Tokens Budget = 300'000;
    for (int I = 0; I < Count; ++I) {
      Holders.push_back(
          std::make_unique<Wallet>(std::to_string(I), WalletPolicy{}));
      Holders.back()->setBudget("team", Budget);
      Holders.back()->setHolders(true, static_cast<std::size_t>(Count));
    }
    TimePoint Now = Begin;
    for (int Round = 0; Round < 80; ++Round, Now += 100ms)
      for (const auto &Each : Holders) {
        if (Each->isRoundDue(Now))
          runWalletRound(*Each, Log, Now);
        Tokens Amount = 2'000 / Count;
        if (Each->reserve("team", Amount, Now))
          Each->settle("team", Amount, Amount, Now);
      }
    Tokens Spent = 0;
    Tokens IdleTokens = 0;
    for (const auto &Each : Holders) {
      Spent += Each->view("team").Spent;
      IdleTokens += Each->view("team").Limit - Each->view("team").Spent;
    }
    CAPTURE(Count);
    CHECK(IdleTokens * 100 > (Budget - Spent) * 18);
    CHECK(IdleTokens * 100 <= (Budget - Spent) * 50);
  }
}

TEST_CASE("a request waiting on another host takes only what it needs") {
  FakeWalletLog Log;
  Wallet Holder("a", {});
  Wallet Waiter("b", {});
  Holder.setBudget("team", 100'000);
  Waiter.setBudget("team", 100'000);
  Holder.setHolders(true, 1);
  Waiter.setHolders(false, 1);
  runWalletRound(Holder, Log, Begin);
  REQUIRE(Holder.view("team").Held == 50'000);
  // 5,000 more than is unallocated.
  Waiter.onRead(Log.readFrom(0), Log.end(), Begin);
  CHECK_FALSE(Waiter.reserve("team", 55'000, Begin));
  runWalletRound(Waiter, Log, Begin + 1s);
  runWalletRound(Holder, Log, Begin + 1s);
  // A quarter of the available tokens, since there are two holders, less the
  // unmet demand of the other one.
  CHECK(Holder.view("team").Held == 7'500);
  runWalletRound(Waiter, Log, Begin + 2s);
  Waiter.abandon("team", 55'000);
  CHECK(Waiter.reserve("team", 55'000, Begin + 2s));
}

TEST_CASE("the idle part shrinks as the remaining budget gets scarce") {
  // One holder spends 4,000 tokens per second until the budget is exhausted.
  // Its idle tokens would be lost if it died.
  FakeWalletLog Log;
  Wallet Holder("a", {});
  constexpr Tokens Budget = 200'000;
  Holder.setBudget("team", Budget);
  double IdleFractionAtHalf = 0;
  double IdleFractionAtTenth = 0;
  for (TimePoint Now = Begin; Now < Begin + 60s; Now += 100ms) {
    if (Holder.isRoundDue(Now))
      runWalletRound(Holder, Log, Now);
    if (Holder.reserve("team", 400, Now))
      Holder.settle("team", 400, 400, Now);
    WalletView View = Holder.view("team");
    auto Left = static_cast<double>(Budget - View.Spent);
    double IdleFraction = static_cast<double>(View.Held - View.Spent) / Left;
    if (Left > Budget * 0.5)
      IdleFractionAtHalf = IdleFraction;
    if (Left > Budget * 0.1)
      IdleFractionAtTenth = IdleFraction;
  }
  CHECK(IdleFractionAtHalf > 0.2);
  CHECK(IdleFractionAtTenth < 0.15);
}
