#include "LibStandin/MemoryLogHooks.h"
#include "LibStream/SnapshotScheduler.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 11;

/// Runs \p Step as a task and waits until it returns.
void runTask(VirtualRuntime &Simulated, const std::function<void()> &Step) {
  bool IsDone = false;
  Simulated.hooks().Spawn([&] {
    Step();
    IsDone = true;
  });
  REQUIRE(Simulated.runUntil([&] { return IsDone; }, 600s));
}

struct SnapshotFixture {
  explicit SnapshotFixture(SnapshotStoreLimits Limits = {.MaxChunkBytes = 10})
      : Hooks(makeMemoryLogHooks(this->Log, this->Simulated.hooks())),
        Limits(Limits) {}

  SnapshotStore store() {
    return {"s", this->Hooks, this->Simulated.hooks(), this->Limits, Seed};
  }

  void write(std::uint64_t Covered, const std::string &Content) {
    runTask(this->Simulated, [&] {
      CHECK(this->store().write({Offset{Covered}, Content}));
    });
  }

  std::optional<StreamSnapshot> newest() {
    std::optional<StreamSnapshot> Found;
    runTask(this->Simulated, [&] {
      auto Read = this->store().newest();
      REQUIRE(Read);
      Found = Read.value();
    });
    return Found;
  }

  VirtualRuntime Simulated;
  MemoryLog Log{{}, Seed};
  LogHooks Hooks;
  SnapshotStoreLimits Limits;
};

const std::string Text = "a snapshot of more than three chunks of ten";

} // namespace

TEST_CASE("a snapshot of several chunks is read back complete") {
  SnapshotFixture Fixture;
  CHECK_FALSE(Fixture.newest());
  Fixture.write(5, Text);
  auto Found = Fixture.newest();
  REQUIRE(Found);
  CHECK(Found->Covered == Offset{5});
  CHECK(Found->Content == Text);
}

TEST_CASE("an older snapshot written later is ignored") {
  SnapshotFixture Fixture;
  Fixture.write(9, "newer");
  Fixture.write(5, Text);
  CHECK(Fixture.newest()->Content == "newer");
}

TEST_CASE("two writers may write the same snapshot") {
  SnapshotFixture Fixture;
  runTask(Fixture.Simulated, [&] {
    SnapshotStore FirstStore = Fixture.store();
    SnapshotStore SecondStore = Fixture.store();
    CHECK(FirstStore.write({Offset{5}, Text}));
    CHECK(SecondStore.write({Offset{5}, Text}));
  });
  CHECK(Fixture.newest()->Content == Text);
}

TEST_CASE("a partially written snapshot is ignored") {
  SnapshotFixture Fixture;
  Fixture.write(5, "whole");
  Fixture.Hooks.Append = [&Fixture, RemainingAppends = 2](
                             const std::string &Stream, std::string Payload,
                             TimePoint) mutable -> Result<Offset> {
    if (RemainingAppends-- <= 0)
      return LogError::Unreachable;
    return Fixture.Log.append(Stream, std::move(Payload),
                              Fixture.Simulated.now());
  };
  runTask(Fixture.Simulated, [&] {
    CHECK_FALSE(Fixture.store().write({Offset{9}, Text}));
  });
  CHECK(Fixture.newest()->Content == "whole");
}

TEST_CASE("a snapshot is written completely although responses are lost") {
  SnapshotFixture Fixture;
  Fixture.Log.Faults.LoseBeforeEffect = 0.2;
  Fixture.Log.Faults.LoseAfterEffect = 0.2;
  Fixture.write(5, Text);
  CHECK(Fixture.newest()->Content == Text);
}

TEST_CASE("a snapshot whose first chunk was truncated is skipped") {
  SnapshotFixture Fixture;
  Fixture.write(5, Text);
  Fixture.write(9, "newer");
  Fixture.Log.truncate("s.snapshots", Offset{2});
  CHECK(Fixture.newest()->Content == "newer");
}

TEST_CASE("an invalid payload in the snapshot stream is ignored") {
  SnapshotFixture Fixture;
  CHECK(Fixture.Log.append("s.snapshots", "no chunk", Fixture.Simulated.now()));
  CHECK(Fixture.Log.append("s.snapshots", std::string(60, '\1'),
                           Fixture.Simulated.now()));
  Fixture.write(5, Text);
  CHECK(Fixture.newest()->Content == Text);
}

TEST_CASE("two schedulers together write about one snapshot per interval") {
  SnapshotFixture Fixture;
  std::uint64_t Offsets = 0;
  int Writes = 0;
  auto Capture = [&] {
    return StreamSnapshot{Offset{Offsets}, std::to_string(Offsets)};
  };
  SnapshotStore FirstStore = Fixture.store();
  SnapshotStore SecondStore = Fixture.store();
  SnapshotScheduler FirstScheduler(FirstStore, Capture,
                                   Fixture.Simulated.hooks(), {}, 1);
  SnapshotScheduler SecondScheduler(SecondStore, Capture,
                                    Fixture.Simulated.hooks(), {}, 2);
  for (int Round = 0; Round < 10; ++Round) {
    Offsets += 1000;
    runTask(Fixture.Simulated, [&] {
      for (SnapshotScheduler *Scheduler : {&FirstScheduler, &SecondScheduler}) {
        auto IsWritten = Scheduler->step();
        REQUIRE(IsWritten);
        Writes += IsWritten.value();
      }
    });
  }
  CHECK(Writes <= 11);
  CHECK(Fixture.newest()->Covered.Value >= Offsets - 1000);
}
