#include "TokenFleet.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// The size of the large deployment.
TokenFleetSettings largeFleet() {
  TokenFleetSettings Settings;
  Settings.Hosts = 195;
  Settings.FailureDomains = 5;
  Settings.Teams = 40;
  Settings.Partitions = 16;
  Settings.Budget = 760'000;
  return Settings;
}

void checkBudgets(TokenFleet &Fleet) {
  for (int Team = 0; Team < Fleet.settings().Teams; ++Team) {
    std::string Name = Fleet.teamOf(Team);
    REQUIRE(Fleet.committed(Name) <= Fleet.heldOnLog(Name));
    REQUIRE(Fleet.heldOnLog(Name) <= Fleet.Budget);
  }
}

/// Number of random schedules; the environment variable overrides the default.
int scheduleCount() {
  const char *Value = std::getenv("BERGAMOTHOOK_SCHEDULES");
  return Value ? std::atoi(Value) : 40;
}

void runRandomStep(TokenFleet &Fleet) {
  int Host = static_cast<int>(
      Fleet.Rng.below(static_cast<std::uint64_t>(Fleet.hosts())));
  switch (Fleet.Rng.below(60)) {
  case 0:
    Fleet.restart(Host);
    return;
  case 1:
    Fleet.kill(Host);
    return;
  case 2:
    if (Fleet.isAlive(Host))
      Fleet.stop(Host);
    return;
  case 3:
  case 4:
    Fleet.setIsolated(Host, Fleet.Rng.below(3) == 0);
    return;
  case 5:
  case 6:
    Fleet.setLogUnreachable(Host, Fleet.Rng.below(3) == 0);
    return;
  case 7:
    Fleet.setLogUnavailable(Fleet.Rng.below(3) == 0);
    return;
  case 8:
    Fleet.setBudget(Fleet.Budget + 10'000);
    return;
  default:
    break;
  }
  if (!Fleet.isAlive(Host))
    return;
  auto Amount = static_cast<Tokens>(1 + Fleet.Rng.below(12'000));
  auto SpentAmount = static_cast<Tokens>(
      Fleet.Rng.below(static_cast<std::uint64_t>(Amount) + 1));
  Fleet.request(Host,
                Fleet.teamOf(static_cast<int>(Fleet.Rng.below(
                    static_cast<std::uint64_t>(Fleet.settings().Teams)))),
                Amount, SpentAmount,
                std::chrono::milliseconds(Fleet.Rng.below(800)));
}

} // namespace

TEST_CASE("a budget can be spent on any host") {
  // 195 hosts, 40 teams, and requests larger than an equal part of a budget per
  // host.
  TokenFleet Fleet(largeFleet(), 1);
  Fleet.load(150, 12'000, 8s);
  Fleet.Simulation.runFor(2s);
  CHECK(Fleet.Results.Requested >= 1190);
  CHECK(Fleet.Results.NotInHand == 0);
  CHECK(Fleet.Results.Exhausted == 0);
  CHECK(Fleet.Results.Granted == Fleet.Results.Requested);
  CHECK(Fleet.Results.MaxWait < 250ms);
  checkBudgets(Fleet);
}

TEST_CASE("homes serve requests from idle tokens during a log outage of 8 s") {
  TokenFleet Fleet(largeFleet(), 2);
  Fleet.load(60, 12'000, 4s);
  for (int Host = 0; Host < Fleet.hosts(); ++Host)
    Fleet.setLogUnreachable(Host, true);
  Fleet.Results = {};
  Fleet.load(60, 12'000, 8s);
  Fleet.Simulation.runFor(2s);
  // Less than 5% may be refused, the requirement for such an outage.
  CHECK(Fleet.Results.NotInHand * 20 < Fleet.Results.Requested);
  checkBudgets(Fleet);
}

TEST_CASE("hosts that lose access to the log only keep serving") {
  TokenFleet Fleet(largeFleet(), 3);
  Fleet.load(100, 12'000, 2s);
  for (int Host = 0; Host < Fleet.hosts(); Host += 2)
    Fleet.setLogUnreachable(Host, true);
  Fleet.Results = {};
  Fleet.load(100, 12'000, 8s);
  Fleet.Simulation.runFor(2s);
  CHECK(Fleet.Results.NotInHand * 50 < Fleet.Results.Requested);
  checkBudgets(Fleet);
}

// Guards against tokens of a removed team that stay with the hosts that held
// them, and against refusals for good that rest on a missing budget.
TEST_CASE("a budget that is taken away goes back to the log, and comes back "
          "with what was spent of it") {
  TokenFleet Fleet({}, 5);
  Fleet.load(20, 3'000, 3s);
  Fleet.Simulation.runFor(1s);
  REQUIRE(Fleet.heldOnLog("team-0") > Fleet.committed("team-0"));
  const std::set<std::string> Others = {"team-1", "team-2", "team-3"};
  for (int Host = 0; Host < Fleet.hosts(); ++Host)
    CHECK(Fleet.broker(Host).keepBudgets(Others) ==
          std::vector<std::string>{"team-0"});
  Fleet.Simulation.runFor(4s);
  CHECK(Fleet.heldOnLog("team-0") == Fleet.committed("team-0"));
  CHECK(Fleet.heldOnLog("team-1") > Fleet.committed("team-1"));
  Fleet.Results = {};
  Fleet.request(0, "team-0", 1'000, 1'000, 10ms);
  Fleet.Simulation.runFor(2s);
  CHECK(Fleet.Results.Granted == 0);
  CHECK(Fleet.Results.Exhausted == 0);
  // Hosts read a version at different times.
  for (int Host = 0; Host < Fleet.hosts(); ++Host) {
    Fleet.broker(Host).setBudget("team-0", Fleet.Budget);
    Fleet.request(Host, "team-0", 1'000, 1'000, 10ms);
    Fleet.Simulation.runFor(500ms);
  }
  Fleet.Results = {};
  Fleet.load(200, 12'000, 8s);
  Fleet.Simulation.runFor(2s);
  CHECK(Fleet.Results.Granted > 0);
  CHECK(Fleet.Results.Exhausted > 0);
  checkBudgets(Fleet);
}

TEST_CASE("a dead home has a successor") {
  TokenFleet Fleet(largeFleet(), 4);
  Fleet.load(100, 2'000, 2s);
  std::set<HostId> Homes;
  for (int Team = 0; Team < 10; ++Team)
    for (int Host = 0; Host < Fleet.hosts(); ++Host)
      if (Fleet.broker(Host)
              .walletOf(Fleet.teamOf(Team))
              ->wallet()
              .view(Fleet.teamOf(Team))
              .Held > 0)
        Fleet.kill(Host);
  Fleet.Results = {};
  Fleet.load(100, 2'000, 8s);
  Fleet.Simulation.runFor(2s);
  CHECK(Fleet.Results.NotInHand * 50 < Fleet.Results.Requested);
  checkBudgets(Fleet);
}

TEST_CASE("the rate of log calls does not grow with the fleet") {
  std::map<int, std::uint64_t> Operations;
  for (int Hosts : {30, 195, 300}) {
    TokenFleetSettings Settings = largeFleet();
    Settings.Hosts = Hosts;
    TokenFleet Fleet(Settings, 5);
    std::uint64_t Before = Fleet.appends() + Fleet.reads();
    Fleet.load(100, 2'000, 5s);
    Operations[Hosts] = Fleet.appends() + Fleet.reads() - Before;
  }
  CHECK(Operations[300] * 10 < Operations[30] * 13);
  CHECK(Operations[195] * 10 < Operations[30] * 13);
}

TEST_CASE("a stop waits for open loans before it returns idle tokens") {
  TokenFleetSettings Settings;
  Settings.Hosts = 3;
  Settings.FailureDomains = 1;
  Settings.Teams = 1;
  Settings.Partitions = 1;
  TokenFleet Fleet(Settings, 6);
  int Home = 0;
  while (!Fleet.broker(Home).roster().isHome(0))
    ++Home;
  int Other = (Home + 1) % 3;
  Fleet.request(Other, "team-0", 10'000, 4'000, 1s);
  Fleet.Simulation.runFor(200ms);
  CHECK(Fleet.broker(Home).loans().open() == 1);
  Fleet.stop(Home);
  Fleet.Simulation.runFor(500ms);
  // A stopping host lends nothing more, so the next request goes to the
  // successor.
  Fleet.request(Other, "team-0", 10'000, 4'000, 100ms);
  Fleet.Simulation.runFor(5s);
  CHECK(Fleet.Results.Granted == 2);
  CHECK(Fleet.broker(Home).loans().open() == 0);
  WalletView View =
      Fleet.broker(Home).walletOf("team-0")->wallet().view("team-0");
  CHECK(View.Held == 4'000);
}

TEST_CASE("a lender with an outdated budget does not report it as exhausted") {
  TokenFleetSettings Settings;
  Settings.Hosts = 2;
  Settings.FailureDomains = 1;
  Settings.Teams = 1;
  Settings.Partitions = 1;
  Settings.Budget = 10'000;
  TokenFleet Fleet(Settings, 7);
  int Other = Fleet.broker(0).roster().isHome(0) ? 1 : 0;
  Fleet.request(Other, "team-0", 10'001, 0, 100ms);
  Fleet.Simulation.runFor(1s);
  CHECK(Fleet.Results.Exhausted == 1);
  Fleet.broker(Other).setBudget("team-0", 20'000);
  Fleet.request(Other, "team-0", 10'001, 0, 100ms);
  Fleet.Simulation.runFor(1s);
  CHECK(Fleet.Results.Exhausted == 1);
  CHECK(Fleet.Results.NotInHand == 1);
}

TEST_CASE("no overspending with dead or isolated hosts and message faults") {
  for (int Seed = 1; Seed <= scheduleCount(); ++Seed) {
    TokenFleetSettings Settings;
    Settings.Hosts = 3 + Seed % 5;
    Settings.FailureDomains = 1 + Seed % 3;
    Settings.Teams = 2;
    Settings.Budget = Seed % 2 == 0 ? 60'000 : 600'000;
    Settings.LostPerMille = 80;
    Settings.DuplicatedPerMille = 80;
    Settings.UnansweredPerMille = 60;
    Settings.MaxDelay = Seed % 4 == 0 ? 400ms : 20ms;
    TokenFleet Fleet(Settings, static_cast<std::uint64_t>(Seed));
    CAPTURE(Seed);
    for (int Step = 0; Step < 600; ++Step) {
      runRandomStep(Fleet);
      Fleet.Simulation.runFor(std::chrono::milliseconds(Fleet.Rng.below(60)));
      checkBudgets(Fleet);
    }
    CHECK(Fleet.Results.Granted > 0);
  }
}

namespace {

/// Nobody spends more than the budgets, whatever the log says.
void checkSpending(TokenFleet &Fleet) {
  for (int Team = 0; Team < Fleet.settings().Teams; ++Team)
    CHECK(Fleet.committed(Fleet.teamOf(Team)) <= Fleet.Budget);
}

TokenFleetSettings fleetOf(int Hosts) {
  TokenFleetSettings Settings = largeFleet();
  Settings.Hosts = Hosts;
  Settings.FailureDomains = Hosts < 90 ? 3 : 5;
  Settings.Teams = 12;
  Settings.Partitions = 4;
  Settings.Budget = 120'000;
  return Settings;
}

} // namespace

TEST_CASE(
    "no team overspends when the log comes back from a copy, also twice") {
  for (int Hosts : {9, 90, 300}) {
    CAPTURE(Hosts);
    TokenFleet Fleet(fleetOf(Hosts), 1);
    Fleet.load(120, 1500, 8s);
    for (int I = 0; I < 2; ++I) {
      Fleet.setLogUnavailable(true);
      Fleet.load(120, 1500, 2s);
      Fleet.restoreLog(9s);
      Fleet.setLogUnavailable(false);
      Fleet.load(120, 1500, 6s);
      checkSpending(Fleet);
    }
    Fleet.load(120, 1500, 15s);
    checkSpending(Fleet);
    // Nothing is lost for good while all holders live.
    for (int Team = 0; Team < Fleet.settings().Teams; ++Team)
      CHECK(Fleet.committed(Fleet.teamOf(Team)) * 10 >= Fleet.Budget * 9);
  }
}

TEST_CASE("no team overspends when the log comes back from a copy and most "
          "hosts were killed while it was away") {
  for (int Hosts : {9, 90, 300})
    for (std::uint64_t Seed = 1; Seed <= (Hosts < 90 ? 6 : 1); ++Seed) {
      CAPTURE(Hosts);
      CAPTURE(Seed);
      TokenFleet Fleet(fleetOf(Hosts), Seed);
      Fleet.load(120, 1500, 8s);
      Fleet.setLogUnavailable(true);
      Fleet.load(120, 1500, 1s);
      for (int Host = 0; Host < Hosts; ++Host)
        if (Host % 5 < 3)
          Fleet.kill(Host);
      Fleet.load(120, 1500, 1s);
      Fleet.restoreLog(9s);
      Fleet.setLogUnavailable(false);
      for (int Host = 0; Host < Hosts; ++Host)
        if (!Fleet.isAlive(Host))
          Fleet.restart(Host);
      Fleet.load(120, 1500, 15s);
      checkSpending(Fleet);
    }
}

TEST_CASE(
    "no team overspends when the log comes back from a copy and all hosts "
    "were killed") {
  TokenFleet Fleet(fleetOf(9), 1);
  Fleet.load(120, 1500, 8s);
  Fleet.setLogUnavailable(true);
  for (int Host = 0; Host < 9; ++Host)
    Fleet.kill(Host);
  Fleet.restoreLog(9s);
  Fleet.setLogUnavailable(false);
  for (int Host = 0; Host < 9; ++Host)
    Fleet.restart(Host);
  Fleet.load(120, 1500, 30s);
  checkSpending(Fleet);
}
