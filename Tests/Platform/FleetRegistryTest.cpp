#include "platform/FleetRegistry.h"

#include "PlatformFixture.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

const RosterHost First{"host-1", "east", "10.0.0.1:7341", 11};
const RosterHost Second{"host-2", "west", "10.0.0.2:7341", 22};

std::string makeKey(char Digit) { return std::string(64, Digit); }

bool neverStopped() { return false; }

/// Waits until \p Condition holds, at most one minute, and checks it.
void waitUntil(const Runtime &Tasks, const std::function<bool()> &Condition) {
  TimePoint GiveUpAt = Tasks.Now() + 1min;
  while (!Condition() && Tasks.Now() < GiveUpAt)
    Tasks.sleepUntil(Tasks.Now() + 10ms);
  CHECK(Condition());
}

} // namespace

TEST_CASE("the first founding record applies to all processes") {
  PlatformFixture Fixture;
  HostRoster Roster(First, {});
  Fixture.run([&] {
    FleetRegistry Registry(*Fixture.Client, Fixture.Loop.hooks(), Roster);
    auto Created = Registry.readOrCreateFounding(makeKey('a'), 8, neverStopped);
    REQUIRE(Created);
    CHECK(Created->Partitions == 8);
    auto Joined = Registry.readOrCreateFounding(makeKey('b'), 16, neverStopped);
    REQUIRE(Joined);
    CHECK(Joined->Partitions == 8);
    CHECK(Joined->Keys.sign("text") == Created->Keys.sign("text"));
  });
}

TEST_CASE(
    "a founding record without an append response is read, not rewritten") {
  PlatformFixture Fixture;
  HostRoster Roster(First, {});
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    FleetRegistry Registry(*Fixture.Client, Tasks, Roster);
    Fixture.Store.Fault = StoreFault::DropResponse;
    Tasks.Spawn([&] {
      Tasks.sleepUntil(Tasks.Now() + 300ms);
      Fixture.Store.Fault = StoreFault::None;
    });
    auto Created = Registry.readOrCreateFounding(makeKey('a'), 8, neverStopped);
    REQUIRE(Created);
    CHECK(Registry.readOrCreateFounding(makeKey('b'), 9, neverStopped)
              ->Partitions == 8);
  });
}

TEST_CASE(
    "a fleet keeps its key when the store was restored from before it was "
    "founded") {
  PlatformFixture Fixture;
  HostRoster Roster(First, {}), OtherRoster(Second, {});
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    FleetRegistry Registry(*Fixture.Client, Tasks, Roster);
    bool IsStopped = false, HasEnded = false;
    Tasks.Spawn([&] {
      Registry.runFoundingKeeper([&] { return IsStopped; });
      HasEnded = true;
    });
    auto Created = Registry.readOrCreateFounding(makeKey('a'), 8, neverStopped);
    REQUIRE(Created);
    Fixture.Store.restore(std::string(wire::FoundingTopic), 1);
    // Any call tells the host of the new era.
    (void)Fixture.Client->readNewest(wire::HostTopic, 0);
    FleetRegistry Starting(*Fixture.Client, Tasks, OtherRoster);
    auto Joined = Starting.readOrCreateFounding(makeKey('b'), 9, neverStopped);
    REQUIRE(Joined);
    CHECK(Joined->Partitions == 8);
    CHECK(Joined->Keys.sign("text") == Created->Keys.sign("text"));
    IsStopped = true;
    waitUntil(Tasks, [&] { return HasEnded; });
  });
}

TEST_CASE("hosts learn when another host registers and leaves") {
  PlatformFixture Fixture;
  HostRoster OwnRoster(First, {}), OtherRoster(Second, {});
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    FleetRegistry OwnRegistry(*Fixture.Client, Tasks, OwnRoster);
    FleetRegistry OtherRegistry(*Fixture.Client, Tasks, OtherRoster);
    bool IsStopped = false;
    auto HasStopped = [&] { return IsStopped; };
    int Running = 0;
    auto Start = [&](auto Run) {
      ++Running;
      Tasks.Spawn([&Running, Run] {
        Run();
        --Running;
      });
    };
    Start([&] { OwnRegistry.runReader(HasStopped); });
    Start([&] { OwnRegistry.runWriter(HasStopped); });
    Start([&] { OtherRegistry.runReader(HasStopped); });
    waitUntil(Tasks, [&] { return OtherRoster.find(First.id()) != nullptr; });
    CHECK(*OtherRoster.find(First.id()) == First);

    CHECK_FALSE(OwnRoster.settledAt());
    waitUntil(Tasks, [&] { return OwnRoster.settledAt().has_value(); });
    CHECK_FALSE(OtherRoster.settledAt()); // It never registered.

    // A delayed append of an earlier process is overwritten.
    RosterHost Earlier = First;
    Earlier.Run = 1;
    Fixture.Store.put(std::string(wire::HostTopic), Earlier.Name,
                      encodeRosterHost(Earlier));
    waitUntil(Tasks, [&] { return OtherRoster.find(First.id())->Run == 1; });
    waitUntil(Tasks,
              [&] { return OtherRoster.find(First.id())->Run == First.Run; });

    // An unreadable record adds no host.
    Fixture.Store.put(std::string(wire::HostTopic), "host-3",
                      "{\"run\": \"x\"}");
    OwnRegistry.leave();
    waitUntil(Tasks, [&] { return OtherRoster.find(First.id()) == nullptr; });
    CHECK(OtherRoster.hosts() == 1);
    IsStopped = true;
    // Ends the reads that wait for new records.
    Fixture.Store.put(std::string(wire::HostTopic), "host-4", "");
    waitUntil(Tasks, [&] { return Running == 0; });
  });
}
