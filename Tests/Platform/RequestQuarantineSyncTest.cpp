#include "platform/RequestQuarantineSync.h"

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
    "crash records reach running processes and a process that starts later") {
  PlatformFixture Fixture;
  RequestQuarantine Reporting("host#1", {}), Receiving("host#2", {}),
      Restarted("host#3", {});
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    bool IsStopped = false;
    auto HasStopped = [&] { return IsStopped; };
    RequestQuarantineSync Writer(*Fixture.Client, Tasks, Reporting);
    RequestQuarantineSync Reader(*Fixture.Client, Tasks, Receiving);
    int Running = 2;
    Tasks.Spawn([&] {
      Writer.runWriter(HasStopped);
      --Running;
    });
    Tasks.Spawn([&] {
      Reader.runReader(HasStopped);
      --Running;
    });
    for (const char *Target : {"a", "b", "c"})
      Reporting.onLost(Bad, Target, Tasks.Now());
    // Bounds a hanging test; the propagation delay is not tested.
    TimePoint GiveUpAt = Tasks.Now() + 1min;
    while (Receiving.maySend(Bad, Tasks.Now()) && Tasks.Now() < GiveUpAt)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK_FALSE(Receiving.maySend(Bad, Tasks.Now()));

    int Rounds = 0;
    RequestQuarantineSync(*Fixture.Client, Tasks, Restarted).runReader([&] {
      return Rounds++ > 0;
    });
    CHECK_FALSE(Restarted.maySend(Bad, Tasks.Now()));

    Reporting.onAnswered(Bad);
    while (!Receiving.maySend(Bad, Tasks.Now()) && Tasks.Now() < GiveUpAt)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK(Receiving.maySend(Bad, Tasks.Now()));
    IsStopped = true;
    while (Running > 0)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
  });
}

TEST_CASE("unreadable crash records are ignored") {
  PlatformFixture Fixture;
  Fixture.Store.put(std::string(wire::SuspectTopic), "short", "1");
  Fixture.Store.put(std::string(wire::SuspectTopic), toHex(Bad) + "/host",
                    "many");
  RequestQuarantine List("host#1", {});
  Fixture.run([&] {
    int Rounds = 0;
    RequestQuarantineSync(*Fixture.Client, Fixture.Loop.hooks(), List)
        .runReader([&] { return Rounds++ > 0; });
  });
  CHECK(List.size() == 0);
}
