#include "WalletFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};

} // namespace

TEST_CASE("no schedule of lost answers, deaths and late appends overspends") {
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

TEST_CASE("what is left goes to who waits for it, however it was shattered") {
  int Played = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    WalletFleet Fleet(Seed);
    for (int I = 0; I < 4; ++I)
      Fleet.start();
    for (int I = 0; I < 300; ++I)
      Fleet.step();
    Fleet.calm(5);
    Tokens Left = Fleet.Budget;
    FakeProcess *Waiting = nullptr;
    for (const auto &Each : Fleet.Processes)
      if (!Each->IsDead)
        Waiting = Each.get();
    REQUIRE(Waiting);
    for (const auto &Each : Fleet.Processes)
      Left -= Each->IsDead ? Waiting->Purses.shareTable()
                                 .shareOf({"team", Each->Purses.self()})
                                 .Held
                           : Each->Spent;
    if (Left < 10'000)
      continue;
    ++Played;
    bool HasGot = false;
    for (int I = 0; I < 5 && !HasGot; ++I) {
      HasGot = Waiting->Purses.reserve("team", Left / 2, Fleet.Now).has_value();
      Fleet.runRounds();
      if (!HasGot)
        Waiting->Purses.abandon("team", Left / 2);
    }
    CAPTURE(Seed);
    CHECK(HasGot);
  }
  CHECK(Played > 0);
}

TEST_CASE("a frozen process wakes with its share, and no more") {
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

TEST_CASE("a request is refused for good only on a fresh view of the log") {
  FakeWalletLog Log;
  Wallet Purses("a", {});
  Purses.setBudget("team", 1000);
  runWalletRound(Purses, Log, Begin);
  CHECK(Purses.reserve("team", 1001, Begin).error() == WalletError::Exhausted);
  CHECK(Purses.reserve("team", 1001, Begin + 1min).error() ==
        WalletError::NotInHand);
}

TEST_CASE("nothing is taken before the log was read") {
  Wallet Purses("a", {});
  Purses.setBudget("team", 1000);
  CHECK(Purses.reserve("team", 1, Begin).error() == WalletError::NotReady);
}

TEST_CASE("a stop hands back what is not spent") {
  FakeWalletLog Log;
  Wallet Purses("a", {});
  Purses.setBudget("team", 1'000'000);
  runWalletRound(Purses, Log, Begin);
  REQUIRE(Purses.reserve("team", 1000, Begin));
  Purses.settle("team", 1000, 600, Begin);
  Purses.beginStop();
  runWalletRound(Purses, Log, Begin + 1s);
  CHECK(Purses.shareTable().shareOf({"team", "a"}).Held == 600);
  CHECK(Purses.shareTable().shareOf({"team", "a"}).Committed == 600);
  CHECK(Purses.planRound(Begin + 1min).empty());
}

TEST_CASE("tokens in hand cover an outage where the callers are") {
  // The load: six hosts, and one of them gets all requests of a team, 2,000
  // tokens a second, as callers stay with a host. After seven seconds the log
  // is out for nine. The budget is four times what is spent in all.
  SteadyLoad Load(6, 4 * 16 * 2000);
  Load.run(7s, true);
  CHECK(Load.Refused == 0);
  Load.run(9s, false);
  CHECK(Load.Refused == 0);
}

TEST_CASE("when all hosts die, half of what was left can still be spent") {
  // The load: 2,000 tokens a second at one of six hosts, and a budget of which
  // ten seconds' worth is left when all are killed.
  SteadyLoad Load(6, 40'000);
  Load.run(10s, true);
  CHECK(Load.Refused == 0);
  CHECK(Load.heldOnLog() <= 40'000 - (40'000 - Load.spent()) / 2);
}

TEST_CASE("a raised budget is used, and what others hold is not") {
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

TEST_CASE("the same part of what is left is in hand, however many hold it") {
  // The load: all holders spend alike, and what is left is worth few seconds.
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
    Tokens InHand = 0;
    for (const auto &Each : Holders) {
      Spent += Each->view("team").Spent;
      InHand += Each->view("team").Limit - Each->view("team").Spent;
    }
    CAPTURE(Count);
    CHECK(InHand * 100 > (Budget - Spent) * 18);
    CHECK(InHand * 100 <= (Budget - Spent) * 50);
  }
}

TEST_CASE("a request that waits elsewhere takes what it needs, not all") {
  FakeWalletLog Log;
  Wallet Holder("a", {});
  Wallet Waiting("b", {});
  Holder.setBudget("team", 100'000);
  Waiting.setBudget("team", 100'000);
  Holder.setHolders(true, 1);
  Waiting.setHolders(false, 1);
  runWalletRound(Holder, Log, Begin);
  REQUIRE(Holder.view("team").Held == 50'000);
  // 5,000 more than nobody has.
  Waiting.onRead(Log.readFrom(0), Log.end(), Begin);
  CHECK_FALSE(Waiting.reserve("team", 55'000, Begin));
  runWalletRound(Waiting, Log, Begin + 1s);
  runWalletRound(Holder, Log, Begin + 1s);
  // A quarter of what is free now, as two hold, less what the other lacks.
  CHECK(Holder.view("team").Held == 7'500);
  runWalletRound(Waiting, Log, Begin + 2s);
  Waiting.abandon("team", 55'000);
  CHECK(Waiting.reserve("team", 55'000, Begin + 2s));
}

TEST_CASE("the less is left, the smaller the part of it that is in hand") {
  // The load: one holder that spends 4,000 tokens a second to the end of the
  // budget. What it has in hand is lost when it dies.
  FakeWalletLog Log;
  Wallet Holder("a", {});
  constexpr Tokens Budget = 200'000;
  Holder.setBudget("team", Budget);
  double PartAtHalf = 0;
  double PartAtTenth = 0;
  for (TimePoint Now = Begin; Now < Begin + 60s; Now += 100ms) {
    if (Holder.isRoundDue(Now))
      runWalletRound(Holder, Log, Now);
    if (Holder.reserve("team", 400, Now))
      Holder.settle("team", 400, 400, Now);
    WalletView Seen = Holder.view("team");
    auto Left = static_cast<double>(Budget - Seen.Spent);
    double Part = static_cast<double>(Seen.Held - Seen.Spent) / Left;
    if (Left > Budget * 0.5)
      PartAtHalf = Part;
    if (Left > Budget * 0.1)
      PartAtTenth = Part;
  }
  CHECK(PartAtHalf > 0.2);
  CHECK(PartAtTenth < 0.15);
}
