#include "LibStandin/MemoryLogHooks.h"
#include "LibStream/StreamAppender.h"
#include "LibStream/StreamFollower.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>
#include <set>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 7;

/// The appender and the follower of the stream "s" on one host.
struct Host {
  Host(MemoryLog &Log, const Runtime &Tasks)
      : Hooks(makeMemoryLogHooks(Log, Tasks)),
        Appender("s", this->Hooks, Tasks, {}, Seed),
        Follower("s", Offset{0}, this->Hooks, Tasks, this->followerHooks(), {},
                 Seed) {
    Tasks.Spawn([this] { this->Appender.run(); });
    Tasks.Spawn([this] { this->Follower.run(); });
  }

  StreamFollowerHooks followerHooks() {
    StreamFollowerHooks Callbacks;
    Callbacks.Apply = [this](const StreamRecord &Record, RecordPosition At) {
      this->AppliedIds.insert(Record.Id);
      ++this->AppliedCount;
      this->Appender.confirm(Record.Id, At);
    };
    Callbacks.Skip = [this](const LogEntry &, std::error_code) {
      ++this->Skipped;
    };
    Callbacks.Recover = []() -> Result<Offset> {
      return StreamError::Malformed;
    };
    return Callbacks;
  }

  LogHooks Hooks;
  StreamAppender Appender;
  StreamFollower Follower;
  std::set<RecordId> AppliedIds;
  int AppliedCount = 0;
  int Skipped = 0;
};

StreamRecord recordNumber(std::uint64_t Number) {
  return {RecordId{0, Number}, Incarnation{HostId{1}, 1}, 1, "body"};
}

void finish(VirtualRuntime &Simulated, Host &TestHost) {
  TestHost.Appender.stop(Simulated.now());
  TestHost.Follower.stop();
  Simulated.runFor(10s);
}

} // namespace

TEST_CASE("an encoded batch decodes to the same records") {
  std::vector<StreamRecord> Batch{recordNumber(1), recordNumber(2)};
  auto Decoded = decodeBatch(encodeBatch(Batch));
  REQUIRE(Decoded);
  REQUIRE(Decoded.value().size() == 2);
  CHECK(Decoded.value()[1].Id == Batch[1].Id);
  CHECK(Decoded.value()[1].Body == "body");
}

TEST_CASE("a truncated batch is an error, and a corrupted one does not crash "
          "decoding") {
  std::string Whole = encodeBatch({recordNumber(1), recordNumber(2)});
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    CHECK_FALSE(decodeBatch(std::string_view(Whole).substr(0, Length)));
  Random Rng(Seed);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Damaged = Whole;
    for (int Change = 0; Change < 3; ++Change)
      Damaged[Rng.below(Damaged.size())] = static_cast<char>(Rng.next());
    (void)decodeBatch(Damaged);
  }
  CHECK(decodeBatch(Whole));
}

TEST_CASE("every record is appended although requests and responses are lost") {
  VirtualRuntime Simulated;
  MemoryLog Log({}, Seed);
  Log.Faults.LoseBeforeEffect = 0.3;
  Log.Faults.LoseAfterEffect = 0.3;
  Host TestHost(Log, Simulated.hooks());
  for (std::uint64_t Number = 0; Number < 100; ++Number) {
    CHECK(TestHost.Appender.submit(recordNumber(Number)));
    Simulated.runFor(50ms);
  }
  CHECK(Simulated.runUntil([&] { return TestHost.AppliedIds.size() == 100; },
                           120s));
  CHECK(TestHost.Appender.health().Queued == 0);
  finish(Simulated, TestHost);
}

TEST_CASE("submitAndWait returns at its deadline while the log is down") {
  VirtualRuntime Simulated;
  MemoryLog Log({}, Seed);
  Log.Faults.IsDown = true;
  Host TestHost(Log, Simulated.hooks());
  std::error_code Failure;
  Simulated.hooks().Spawn([&] {
    Failure =
        TestHost.Appender.submitAndWait(recordNumber(1), Simulated.now() + 5s)
            .error();
  });
  Simulated.runFor(6s);
  CHECK(Failure == StreamError::NotConfirmed);
  Log.Faults.IsDown = false;
  CHECK(
      Simulated.runUntil([&] { return TestHost.AppliedIds.size() == 1; }, 20s));
  finish(Simulated, TestHost);
}

TEST_CASE("a payload that is not a batch is skipped and counted") {
  VirtualRuntime Simulated;
  MemoryLog Log({}, Seed);
  CHECK(Log.append("s", "not a batch", Simulated.now()));
  Host TestHost(Log, Simulated.hooks());
  CHECK(TestHost.Appender.submit(recordNumber(1)));
  Simulated.runFor(5s);
  CHECK(TestHost.Skipped == 1);
  CHECK(TestHost.AppliedIds.size() == 1);
  finish(Simulated, TestHost);
}
