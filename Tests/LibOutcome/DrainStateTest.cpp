#include "LibOutcome/DrainState.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// A process that shuts down in virtual time, with one long request.
struct Stopping {
  Stopping() {
    CHECK(this->Draining.enter(this->Simulated.now()));
    this->Draining.signal(this->Simulated.now());
    this->Simulated.hooks().Spawn([this] {
      this->Aborted = this->Draining.waitUntilEmpty(this->Simulated.hooks());
      this->HasEnded = true;
    });
  }

  VirtualRuntime Simulated;
  DrainState Draining{DrainLimits{}};
  std::size_t Aborted = 0;
  bool HasEnded = false;
};

} // namespace

TEST_CASE(
    "shutdown waits for the last request and serves new ones while not ready") {
  Stopping Process;
  CHECK_FALSE(Process.Draining.isReady(Process.Simulated.now()));
  CHECK(Process.Draining.enter(Process.Simulated.now()));
  Process.Draining.leave();
  Process.Simulated.runFor(10min);
  CHECK_FALSE(Process.Draining.enter(Process.Simulated.now()));
  CHECK_FALSE(Process.HasEnded);
  Process.Draining.leave();
  Process.Simulated.runFor(1s);
  CHECK(Process.HasEnded);
  CHECK(Process.Aborted == 0);
}

TEST_CASE("shutdown ends at its timeout, or at a second signal") {
  Stopping TimedOut;
  TimedOut.Simulated.runFor(31min);
  CHECK(TimedOut.HasEnded);
  CHECK(TimedOut.Aborted == 1);
  Stopping Forced;
  Forced.Simulated.runFor(10s);
  Forced.Draining.signal(Forced.Simulated.now());
  Forced.Simulated.runFor(1s);
  CHECK(Forced.HasEnded);
}
