#include "platform/CrashListSync.h"

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
  CrashList Seer("host#1", {}), Hearer("host#2", {}), Late("host#3", {});
  Site.play([&] {
    Runtime Tasks = Site.Loop.hooks();
    bool IsStopped = false;
    auto Stopped = [&] { return IsStopped; };
    CrashListSync Tells(*Site.Client, Tasks, Seer);
    CrashListSync Hears(*Site.Client, Tasks, Hearer);
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
    while (Hearer.mayRun(Bad, Tasks.Now()) && Tasks.Now() < Latest)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK_FALSE(Hearer.mayRun(Bad, Tasks.Now()));

    int Rounds = 0;
    CrashListSync(*Site.Client, Tasks, Late).runReader([&] {
      return Rounds++ > 0;
    });
    CHECK_FALSE(Late.mayRun(Bad, Tasks.Now()));

    Seer.onAnswered(Bad);
    while (!Hearer.mayRun(Bad, Tasks.Now()) && Tasks.Now() < Latest)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK(Hearer.mayRun(Bad, Tasks.Now()));
    IsStopped = true;
    while (Running > 0)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
  });
}

TEST_CASE("a note that can't be read changes nothing") {
  PlatformFixture Site;
  Site.Store.put(std::string(wire::SuspectTopic), "short", "1");
  Site.Store.put(std::string(wire::SuspectTopic), toHex(Bad) + "/host", "many");
  CrashList List("host#1", {});
  Site.play([&] {
    int Rounds = 0;
    CrashListSync(*Site.Client, Site.Loop.hooks(), List).runReader([&] {
      return Rounds++ > 0;
    });
  });
  CHECK(List.size() == 0);
}
