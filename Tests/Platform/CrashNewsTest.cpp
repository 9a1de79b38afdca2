#include "platform/CrashNews.h"

#include "LibObserve/StructuredLog.h"
#include "PlatformFixture.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

const Hash128 Bad = hash128("bad");

} // namespace

TEST_CASE(
    "what crashes targets is known to the others and to one that starts") {
  PlatformFixture Site;
  RequestQuarantine Seer("host#1", {}), Hearer("host#2", {}),
      Late("host#3", {});
  Site.play([&] {
    Runtime Tasks = Site.Loop.hooks();
    bool IsStopped = false;
    auto Stopped = [&] { return IsStopped; };
    CrashNews Tells(*Site.Client, Tasks, Seer);
    CrashNews Hears(*Site.Client, Tasks, Hearer);
    int Running = 2;
    Tasks.Spawn([&] {
      Tells.runWriter(Stopped);
      --Running;
    });
    Tasks.Spawn([&] {
      Hears.runReader(Stopped);
      --Running;
    });
    for (const char *Target : {"a", "b", "c"})
      Seer.onLost(Bad, Target, Tasks.Now());
    // Ends a test that hangs; how fast news travel is no part of it.
    TimePoint Latest = Tasks.Now() + 1min;
    while (Hearer.maySend(Bad, Tasks.Now()) && Tasks.Now() < Latest)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK_FALSE(Hearer.maySend(Bad, Tasks.Now()));

    int Rounds = 0;
    CrashNews(*Site.Client, Tasks, Late).runReader([&] {
      return Rounds++ > 0;
    });
    CHECK_FALSE(Late.maySend(Bad, Tasks.Now()));

    Seer.onAnswered(Bad);
    while (!Hearer.maySend(Bad, Tasks.Now()) && Tasks.Now() < Latest)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK(Hearer.maySend(Bad, Tasks.Now()));
    IsStopped = true;
    while (Running > 0)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
  });
}

TEST_CASE("a note that can't be read changes nothing") {
  PlatformFixture Site;
  Site.Store.put(std::string(wire::SuspectTopic), "short", "1");
  Site.Store.put(std::string(wire::SuspectTopic), toHex(Bad) + "/host", "many");
  RequestQuarantine List("host#1", {});
  Site.play([&] {
    int Rounds = 0;
    CrashNews(*Site.Client, Site.Loop.hooks(), List).runReader([&] {
      return Rounds++ > 0;
    });
  });
  CHECK(List.size() == 0);
}
