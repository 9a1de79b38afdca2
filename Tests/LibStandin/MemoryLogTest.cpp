#include "LibStandin/MemoryLog.h"
#include "LibStandin/MemoryLogHooks.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {
const TimePoint Start{1h};
constexpr std::uint64_t Seed = 1;
} // namespace

TEST_CASE("offsets grow by one and entries read back in order") {
  MemoryLog Log({}, Seed);
  CHECK(Log.append("a", "x", Start).value().Value == 0);
  CHECK(Log.append("a", "y", Start).value().Value == 1);
  CHECK(Log.append("b", "z", Start).value().Value == 0);
  LogPage Page = Log.read("a", Offset{0}, 10, Start).value();
  REQUIRE(Page.Entries.size() == 2);
  CHECK(Page.Entries[1].Payload == "y");
  CHECK(Page.Next.Value == 2);
}

TEST_CASE(
    "an append whose response is lost after it took effect can be read back") {
  MemoryLog Log({}, Seed);
  Log.Faults.LoseAfterEffect = 1;
  auto Appended = Log.append("a", "x", Start);
  CHECK(Appended.error() == LogError::ResponseLost);
  CHECK_FALSE(provesNoEffect(Appended.error()));
  CHECK(Log.read("a", Offset{0}, 10, Start).value().Entries.size() == 1);
}

TEST_CASE("a read below the retained range fails with BelowRetention") {
  LogLimits Limits;
  Limits.Retention = 10s;
  MemoryLog Log(Limits, Seed);
  CHECK(Log.append("a", "x", Start));
  CHECK(Log.append("a", "y", Start + 8s));
  auto Page = Log.read("a", Offset{0}, 10, Start + 11s);
  CHECK(Page.error() == LogError::BelowRetention);
  CHECK(Log.read("a", Offset{1}, 10, Start + 11s).value().Entries.size() == 1);
}

TEST_CASE("appends above the rate limit fail and have no effect") {
  LogLimits Limits;
  Limits.AppendsPerSecond = 10;
  Limits.AppendBurst = 2;
  MemoryLog Log(Limits, Seed);
  CHECK(Log.append("a", "1", Start));
  CHECK(Log.append("a", "2", Start));
  CHECK(Log.append("a", "3", Start).error() == LogError::RateLimited);
  CHECK(Log.append("a", "3", Start + 100ms));
  CHECK(Log.Appends == 3);
}

TEST_CASE("a read waits for the first entry") {
  VirtualRuntime Simulated;
  Runtime Tasks = Simulated.hooks();
  MemoryLog Log({}, Seed);
  LogHooks Hooks = makeMemoryLogHooks(Log, Tasks);
  std::size_t Received = 0;
  Tasks.Spawn([&] {
    Received = Hooks.Read("a", Offset{0}, 10, 1s).value().Entries.size();
  });
  Simulated.runFor(100ms);
  CHECK(Received == 0);
  CHECK(Log.append("a", "x", Simulated.now()));
  Simulated.runFor(100ms);
  CHECK(Received == 1);
}
