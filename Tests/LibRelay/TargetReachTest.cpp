#include "LibRelay/TargetReach.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};
const std::string Service = "engines";

std::vector<std::string> targets(int Count) {
  std::vector<std::string> Ids;
  for (int I = 0; I < Count; ++I)
    Ids.push_back("t" + std::to_string(I));
  return Ids;
}

} // namespace

TEST_CASE("one target that fails time and again is not taken for a lost link") {
  TargetReach Reach;
  for (TimePoint Now = Begin; Now < Begin + 10s; Now += 50ms) {
    Reach.onFailed(Service, "t0", Now);
    CHECK_FALSE(Reach.isSuspect(Service, 6, Now));
  }
}

TEST_CASE("targets that fail are suspected, and a few others decide") {
  TargetReach Reach;
  Random Rng(1);
  Reach.onFailed(Service, "t0", Begin);
  Reach.onFailed(Service, "t1", Begin + 10ms);
  CHECK(Reach.isSuspect(Service, 6, Begin + 10ms));
  auto Probes = Reach.chooseProbes(Service, targets(6), Rng);
  std::sort(Probes.begin(), Probes.end());
  CHECK(Probes == std::vector<std::string>{"t2", "t3", "t4", "t5"});
  SUBCASE("one that accepts a connection settles the doubt for a while") {
    CHECK(Reach.onProbed(Service, 4, 1, Begin + 20ms) == ReachChange::None);
    Reach.onFailed(Service, "t2", Begin + 30ms);
    Reach.onFailed(Service, "t3", Begin + 30ms);
    CHECK_FALSE(Reach.isSuspect(Service, 6, Begin + 40ms));
    CHECK(Reach.isSuspect(Service, 6, Begin + 1020ms));
  }
  SUBCASE("without one, the service is out of reach until one accepts") {
    CHECK(Reach.onProbed(Service, 4, 0, Begin + 20ms) == ReachChange::Lost);
    CHECK(Reach.isLost(Service));
    CHECK_FALSE(Reach.mayUseOwnLinks(Service, 0, Begin + 20ms));
    CHECK(Reach.isSuspect(Service, 6, Begin + 21ms));
    CHECK(Reach.onProbed(Service, 4, 0, Begin + 30ms) == ReachChange::None);
    CHECK(Reach.onProbed(Service, 4, 1, Begin + 5s) == ReachChange::Regained);
    CHECK_FALSE(Reach.isLost(Service));
    CHECK(Reach.mayUseOwnLinks(Service, 0, Begin + 5s));
    CHECK_FALSE(Reach.mayUseOwnLinks(Service, 0.5, Begin + 5s + 200ms));
    CHECK(Reach.mayUseOwnLinks(Service, 0.5, Begin + 5s + 250ms));
    CHECK(Reach.mayUseOwnLinks(Service, 0.999, Begin + 5s + 500ms));
  }
  SUBCASE("a target alone is no evidence against the link") {
    CHECK(Reach.onProbed(Service, 1, 0, Begin + 20ms) == ReachChange::None);
    CHECK_FALSE(Reach.isLost(Service));
  }
}

TEST_CASE("targets that hang while calls wait are suspected, a pause of one of "
          "them is not") {
  TargetReach Reach;
  for (const char *Target : {"t0", "t1", "t2"})
    Reach.onSent(Service, Target, Begin);
  CHECK_FALSE(Reach.isSuspect(Service, 6, Begin + 499ms));
  SUBCASE("all are silent") {
    CHECK(Reach.isSuspect(Service, 6, Begin + 500ms));
    Reach.onEnded(Service, "t1");
    CHECK_FALSE(Reach.isSuspect(Service, 6, Begin + 500ms));
  }
  SUBCASE("one is heard") {
    Reach.onHeard(Service, "t1", Begin + 300ms);
    CHECK_FALSE(Reach.isSuspect(Service, 6, Begin + 799ms));
    CHECK(Reach.isSuspect(Service, 6, Begin + 800ms));
  }
}

TEST_CASE("a target that is heard again no longer counts as failed, nor does "
          "an old failure") {
  TargetReach Reach;
  Reach.onFailed(Service, "t0", Begin);
  Reach.onHeard(Service, "t0", Begin + 10ms);
  Reach.onFailed(Service, "t1", Begin + 20ms);
  CHECK_FALSE(Reach.isSuspect(Service, 6, Begin + 20ms));
  Reach.onFailed(Service, "t2", Begin + 2020ms);
  CHECK(Reach.failedTargets(Service, Begin + 2020ms) == 1);
}
