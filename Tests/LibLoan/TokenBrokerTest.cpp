#include "TokenFleet.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// The size of the users' large deployment.
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

/// Random schedules in a run; more by hand, with the variable.
int schedules() {
  const char *Wanted = std::getenv("BERGAMOTHOOK_SCHEDULES");
  return Wanted ? std::atoi(Wanted) : 40;
}

void playStep(TokenFleet &Fleet) {
  int Host = static_cast<int>(
      Fleet.Dice.below(static_cast<std::uint64_t>(Fleet.hosts())));
  switch (Fleet.Dice.below(60)) {
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
    Fleet.setCut(Host, Fleet.Dice.below(3) == 0);
    return;
  case 5:
  case 6:
    Fleet.setLogCut(Host, Fleet.Dice.below(3) == 0);
    return;
  case 7:
    Fleet.setLogDown(Fleet.Dice.below(3) == 0);
    return;
  case 8:
    Fleet.setBudget(Fleet.Budget + 10'000);
    return;
  default:
    break;
  }
  if (!Fleet.isAlive(Host))
    return;
  auto Amount = static_cast<Tokens>(1 + Fleet.Dice.below(12'000));
  auto Used = static_cast<Tokens>(
      Fleet.Dice.below(static_cast<std::uint64_t>(Amount) + 1));
  Fleet.request(Host,
                Fleet.teamOf(static_cast<int>(Fleet.Dice.below(
                    static_cast<std::uint64_t>(Fleet.settings().Teams)))),
                Amount, Used, std::chrono::milliseconds(Fleet.Dice.below(800)));
}

} // namespace

TEST_CASE("a budget is spendable wherever its callers are") {
  // The load: 195 hosts, 40 teams, and requests that are larger than the part
  // of a budget that one host of so many would have.
  TokenFleet Fleet(largeFleet(), 1);
  Fleet.load(150, 12'000, 8s);
  Fleet.Simulated.runFor(2s);
  CHECK(Fleet.Figures.Asked >= 1190);
  CHECK(Fleet.Figures.NotInHand == 0);
  CHECK(Fleet.Figures.Exhausted == 0);
  CHECK(Fleet.Figures.Granted == Fleet.Figures.Asked);
  CHECK(Fleet.Figures.LongestWait < 250ms);
  checkBudgets(Fleet);
}

TEST_CASE("a cut from the log of eight seconds is served from homes' hands") {
  TokenFleet Fleet(largeFleet(), 2);
  Fleet.load(60, 12'000, 4s);
  for (int Host = 0; Host < Fleet.hosts(); ++Host)
    Fleet.setLogCut(Host, true);
  Fleet.Figures = {};
  Fleet.load(60, 12'000, 8s);
  Fleet.Simulated.runFor(2s);
  // Under five of a hundred refused, the users' target for such a cut.
  CHECK(Fleet.Figures.NotInHand * 20 < Fleet.Figures.Asked);
  checkBudgets(Fleet);
}

TEST_CASE("a host that is cut from the log alone goes on") {
  TokenFleet Fleet(largeFleet(), 3);
  Fleet.load(100, 12'000, 2s);
  for (int Host = 0; Host < Fleet.hosts(); Host += 2)
    Fleet.setLogCut(Host, true);
  Fleet.Figures = {};
  Fleet.load(100, 12'000, 8s);
  Fleet.Simulated.runFor(2s);
  CHECK(Fleet.Figures.NotInHand * 50 < Fleet.Figures.Asked);
  checkBudgets(Fleet);
}

TEST_CASE("a dead home has a successor") {
  TokenFleet Fleet(largeFleet(), 4);
  Fleet.load(100, 2'000, 2s);
  std::set<HostId> Homes;
  for (int Team = 0; Team < 10; ++Team)
    for (int Host = 0; Host < Fleet.hosts(); ++Host)
      if (Fleet.desk(Host)
              .walletOf(Fleet.teamOf(Team))
              ->wallet()
              .view(Fleet.teamOf(Team))
              .Held > 0)
        Fleet.kill(Host);
  Fleet.Figures = {};
  Fleet.load(100, 2'000, 8s);
  Fleet.Simulated.runFor(2s);
  CHECK(Fleet.Figures.NotInHand * 50 < Fleet.Figures.Asked);
  checkBudgets(Fleet);
}

TEST_CASE("calls of the log do not grow with the fleet") {
  std::map<int, std::uint64_t> Calls;
  for (int Hosts : {30, 195, 300}) {
    TokenFleetSettings Settings = largeFleet();
    Settings.Hosts = Hosts;
    TokenFleet Fleet(Settings, 5);
    std::uint64_t Before = Fleet.appends() + Fleet.reads();
    Fleet.load(100, 2'000, 5s);
    Calls[Hosts] = Fleet.appends() + Fleet.reads() - Before;
  }
  CHECK(Calls[300] * 10 < Calls[30] * 13);
  CHECK(Calls[195] * 10 < Calls[30] * 13);
}

TEST_CASE("a stop brings loans home before it hands back what is left") {
  TokenFleetSettings Settings;
  Settings.Hosts = 3;
  Settings.FailureDomains = 1;
  Settings.Teams = 1;
  Settings.Partitions = 1;
  TokenFleet Fleet(Settings, 6);
  int Home = 0;
  while (!Fleet.desk(Home).roster().isHome(0))
    ++Home;
  int Other = (Home + 1) % 3;
  Fleet.request(Other, "team-0", 10'000, 4'000, 1s);
  Fleet.Simulated.runFor(200ms);
  CHECK(Fleet.desk(Home).loans().open() == 1);
  Fleet.stop(Home);
  Fleet.Simulated.runFor(500ms);
  // Lends nothing more, so the next request goes to the successor.
  Fleet.request(Other, "team-0", 10'000, 4'000, 100ms);
  Fleet.Simulated.runFor(5s);
  CHECK(Fleet.Figures.Granted == 2);
  CHECK(Fleet.desk(Home).loans().open() == 0);
  WalletView Seen =
      Fleet.desk(Home).walletOf("team-0")->wallet().view("team-0");
  CHECK(Seen.Held == 4'000);
}

TEST_CASE(
    "a lender that does not know a raised budget refuses nobody for good") {
  TokenFleetSettings Settings;
  Settings.Hosts = 2;
  Settings.FailureDomains = 1;
  Settings.Teams = 1;
  Settings.Partitions = 1;
  Settings.Budget = 10'000;
  TokenFleet Fleet(Settings, 7);
  int Other = Fleet.desk(0).roster().isHome(0) ? 1 : 0;
  Fleet.request(Other, "team-0", 10'001, 0, 100ms);
  Fleet.Simulated.runFor(1s);
  CHECK(Fleet.Figures.Exhausted == 1);
  Fleet.desk(Other).setBudget("team-0", 20'000);
  Fleet.request(Other, "team-0", 10'001, 0, 100ms);
  Fleet.Simulated.runFor(1s);
  CHECK(Fleet.Figures.Exhausted == 1);
  CHECK(Fleet.Figures.NotInHand == 1);
}

TEST_CASE(
    "no schedule of deaths, cuts and lost or doubled messages overspends") {
  for (int Seed = 1; Seed <= schedules(); ++Seed) {
    TokenFleetSettings Settings;
    Settings.Hosts = 3 + Seed % 5;
    Settings.FailureDomains = 1 + Seed % 3;
    Settings.Teams = 2;
    Settings.Budget = Seed % 2 == 0 ? 60'000 : 600'000;
    Settings.Lost = 80;
    Settings.Doubled = 80;
    Settings.Unanswered = 60;
    Settings.LongestDelay = Seed % 4 == 0 ? 400ms : 20ms;
    TokenFleet Fleet(Settings, static_cast<std::uint64_t>(Seed));
    CAPTURE(Seed);
    for (int Step = 0; Step < 600; ++Step) {
      playStep(Fleet);
      Fleet.Simulated.runFor(std::chrono::milliseconds(Fleet.Dice.below(60)));
      checkBudgets(Fleet);
    }
    CHECK(Fleet.Figures.Granted > 0);
  }
}
