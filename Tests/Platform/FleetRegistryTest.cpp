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

std::string keyOf(char Digit) { return std::string(64, Digit); }

bool never() { return false; }

/// Waits until \p Condition holds; a minute ends a test that hangs.
void await(const Runtime &Tasks, const std::function<bool()> &Condition) {
  TimePoint Latest = Tasks.Now() + 1min;
  while (!Condition() && Tasks.Now() < Latest)
    Tasks.sleepUntil(Tasks.Now() + 10ms);
  CHECK(Condition());
}

} // namespace

TEST_CASE("what was founded first stands for all") {
  PlatformFixture Site;
  HostRoster Roster(First, {});
  Site.play([&] {
    FleetRegistry News(*Site.Client, Site.Loop.hooks(), Roster);
    auto Founded = News.found(keyOf('a'), 8, never);
    REQUIRE(Founded);
    CHECK(Founded->Partitions == 8);
    auto Joined = News.found(keyOf('b'), 16, never);
    REQUIRE(Joined);
    CHECK(Joined->Partitions == 8);
    CHECK(Joined->Keys.sign("text") == Founded->Keys.sign("text"));
  });
}

TEST_CASE("a founding whose answer is lost is read, and not made twice") {
  PlatformFixture Site;
  HostRoster Roster(First, {});
  Site.play([&] {
    Runtime Tasks = Site.Loop.hooks();
    FleetRegistry News(*Site.Client, Tasks, Roster);
    Site.Store.Fault = StoreFault::LoseAnswer;
    Tasks.Spawn([&] {
      Tasks.sleepUntil(Tasks.Now() + 300ms);
      Site.Store.Fault = StoreFault::None;
    });
    auto Founded = News.found(keyOf('a'), 8, never);
    REQUIRE(Founded);
    CHECK(News.found(keyOf('b'), 9, never)->Partitions == 8);
  });
}

TEST_CASE("hosts hear of each other, and one that leaves is gone") {
  PlatformFixture Site;
  HostRoster Own(First, {}), Other(Second, {});
  Site.play([&] {
    Runtime Tasks = Site.Loop.hooks();
    FleetRegistry Tells(*Site.Client, Tasks, Own);
    FleetRegistry Hears(*Site.Client, Tasks, Other);
    bool IsStopped = false;
    auto Stopped = [&] { return IsStopped; };
    int Running = 0;
    auto Start = [&](auto Run) {
      ++Running;
      Tasks.Spawn([&Running, Run] {
        Run();
        --Running;
      });
    };
    Start([&] { Tells.runReader(Stopped); });
    Start([&] { Tells.runWriter(Stopped); });
    Start([&] { Hears.runReader(Stopped); });
    await(Tasks, [&] { return Other.find(First.id()) != nullptr; });
    CHECK(*Other.find(First.id()) == First);

    // A late append of an earlier process is written over.
    RosterHost Earlier = First;
    Earlier.Run = 1;
    Site.Store.put(std::string(wire::HostTopic), Earlier.Name,
                   encodeRosterHost(Earlier));
    await(Tasks, [&] { return Other.find(First.id())->Run == 1; });
    await(Tasks, [&] { return Other.find(First.id())->Run == First.Run; });

    // What can't be read names no host.
    Site.Store.put(std::string(wire::HostTopic), "host-3", "{\"run\": \"x\"}");
    Tells.leave();
    await(Tasks, [&] { return Other.find(First.id()) == nullptr; });
    CHECK(Other.hosts() == 1);
    IsStopped = true;
    // Ends the reads that wait for news.
    Site.Store.put(std::string(wire::HostTopic), "host-4", "");
    await(Tasks, [&] { return Running == 0; });
  });
}
