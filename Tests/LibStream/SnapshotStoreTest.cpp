#include "LibStandin/MemoryLogHooks.h"
#include "LibStream/SnapshotKeeper.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 11;

/// Runs \p Step as a task and waits for its end.
void runTask(VirtualRuntime &Simulated, const std::function<void()> &Step) {
  bool IsDone = false;
  Simulated.hooks().Spawn([&] {
    Step();
    IsDone = true;
  });
  REQUIRE(Simulated.runUntil([&] { return IsDone; }, 600s));
}

struct Stores {
  explicit Stores(SnapshotStoreLimits Limits = {.MaxChunkBytes = 10})
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

TEST_CASE("a snapshot in chunks is read back whole") {
  Stores World;
  CHECK_FALSE(World.newest());
  World.write(5, Text);
  auto Found = World.newest();
  REQUIRE(Found);
  CHECK(Found->Covered == Offset{5});
  CHECK(Found->Content == Text);
}

TEST_CASE("an older snapshot written late never wins") {
  Stores World;
  World.write(9, "newer");
  World.write(5, Text);
  CHECK(World.newest()->Content == "newer");
}

TEST_CASE("two writers of one snapshot do no harm") {
  Stores World;
  runTask(World.Simulated, [&] {
    SnapshotStore First = World.store();
    SnapshotStore Second = World.store();
    CHECK(First.write({Offset{5}, Text}));
    CHECK(Second.write({Offset{5}, Text}));
  });
  CHECK(World.newest()->Content == Text);
}

TEST_CASE("a half-written snapshot does not count") {
  Stores World;
  World.write(5, "whole");
  World.Hooks.Append = [&World, Left = 2](const std::string &Stream,
                                          std::string Payload,
                                          TimePoint) mutable -> Result<Offset> {
    if (Left-- <= 0)
      return LogError::Unreachable;
    return World.Log.append(Stream, std::move(Payload), World.Simulated.now());
  };
  runTask(World.Simulated, [&] {
    CHECK_FALSE(World.store().write({Offset{9}, Text}));
  });
  CHECK(World.newest()->Content == "whole");
}

TEST_CASE("a snapshot survives lost answers") {
  Stores World;
  World.Log.Faults.LoseBeforeEffect = 0.2;
  World.Log.Faults.LoseAfterEffect = 0.2;
  World.write(5, Text);
  CHECK(World.newest()->Content == Text);
}

TEST_CASE("a snapshot that lost its first chunk to the retention is skipped") {
  Stores World;
  World.write(5, Text);
  World.write(9, "newer");
  World.Log.truncate("s.snapshots", Offset{2});
  CHECK(World.newest()->Content == "newer");
}

TEST_CASE("a foreign payload in the snapshot stream is ignored") {
  Stores World;
  CHECK(World.Log.append("s.snapshots", "no chunk", World.Simulated.now()));
  CHECK(World.Log.append("s.snapshots", std::string(60, '\1'),
                         World.Simulated.now()));
  World.write(5, Text);
  CHECK(World.newest()->Content == Text);
}

TEST_CASE("keepers share the work of writing snapshots") {
  Stores World;
  std::uint64_t Offsets = 0;
  int Writes = 0;
  auto Take = [&] {
    return StreamSnapshot{Offset{Offsets}, std::to_string(Offsets)};
  };
  SnapshotStore First = World.store();
  SnapshotStore Second = World.store();
  SnapshotKeeper One(First, Take, World.Simulated.hooks(), {}, 1);
  SnapshotKeeper Other(Second, Take, World.Simulated.hooks(), {}, 2);
  for (int Round = 0; Round < 10; ++Round) {
    Offsets += 1000;
    runTask(World.Simulated, [&] {
      for (SnapshotKeeper *Keeper : {&One, &Other}) {
        auto IsWritten = Keeper->step();
        REQUIRE(IsWritten);
        Writes += IsWritten.value();
      }
    });
  }
  CHECK(Writes <= 11);
  CHECK(World.newest()->Covered.Value >= Offsets - 1000);
}
