#include "LibOutcome/DrainState.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// A draining process in virtual time, with one long request.
struct Stopping {
  Stopping() {
    CHECK(this->Draining.enter(this->Simulated.now()));
    this->Draining.signal(this->Simulated.now());
    this->Simulated.hooks().Spawn([this] {
      this->Cut = this->Draining.waitUntilEmpty(this->Simulated.hooks());
      this->HasEnded = true;
    });
  }

  VirtualRuntime Simulated;
  DrainState Draining{DrainLimits{}};
  std::size_t Cut = 0;
  bool HasEnded = false;
};

} // namespace

TEST_CASE("a stop waits for the last request and takes late ones for a while") {
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
  CHECK(Process.Cut == 0);
}

TEST_CASE("a stop ends at its bound, or at a second signal") {
  Stopping Bounded;
  Bounded.Simulated.runFor(31min);
  CHECK(Bounded.HasEnded);
  CHECK(Bounded.Cut == 1);
  Stopping Forced;
  Forced.Simulated.runFor(10s);
  Forced.Draining.signal(Forced.Simulated.now());
  Forced.Simulated.runFor(1s);
  CHECK(Forced.HasEnded);
}
