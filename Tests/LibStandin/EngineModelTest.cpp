#include "LibStandin/EngineModel.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr std::uint64_t Seed = 3;

EngineModelSettings settings() {
  EngineModelSettings Settings;
  Settings.Models = {"m"};
  return Settings;
}

EngineModelRequest request(std::uint64_t Number,
                           std::uint32_t ResponseTokens = 10) {
  EngineModelRequest Request;
  Request.Request = {0, Number};
  Request.Attempt = AttemptNumber{1};
  Request.Model = "m";
  Request.PromptTokens = 800;
  Request.ResponseTokens = ResponseTokens;
  Request.MaxTokens = 1000;
  return Request;
}

/// Counts the tokens of one request and fails on a gap or a repeat.
std::uint32_t tokensOf(const std::vector<EngineModelEvent> &Events,
                       std::uint64_t Number, std::uint32_t From = 0) {
  std::uint32_t Next = From;
  for (const EngineModelEvent &Event : Events) {
    bool IsTokens = Event.Kind == EngineModelEventKind::Tokens;
    if (!IsTokens || Event.Request.Low != Number)
      continue;
    CHECK(Event.FirstToken == Next);
    Next += Event.Tokens;
  }
  return Next;
}

TimePoint firstTokenAt(const std::vector<EngineModelEvent> &Events,
                       std::uint64_t Number) {
  for (const EngineModelEvent &Event : Events)
    if (Event.Request.Low == Number)
      return Event.At;
  return TimePoint::max();
}

} // namespace

TEST_CASE("a stream is prefilled, emits its tokens and finishes once") {
  EngineModel Engine(settings(), Seed);
  CHECK(Engine.submit(request(1), Start));
  Engine.advance(Start + 1min);
  auto Events = Engine.takeEvents();
  CHECK(tokensOf(Events, 1) == 10);
  CHECK(firstTokenAt(Events, 1) == Start + 100ms);
  CHECK(Events.back().Kind == EngineModelEventKind::Finished);
  CHECK(Events.back().Counted.GeneratedTokens == 10);
  CHECK_FALSE(Engine.nextEvent());
}

TEST_CASE(
    "a request of higher priority overtakes requests waiting for the batch") {
  EngineModelSettings Small = settings();
  Small.BatchLimit = 1;
  EngineModel Engine(Small, Seed);
  for (std::uint64_t I = 1; I <= 3; ++I)
    CHECK(Engine.submit(request(I), Start));
  EngineModelRequest Urgent = request(9);
  Urgent.Priority = 1;
  CHECK(Engine.submit(Urgent, Start));
  Engine.advance(Start + 1min);
  auto Events = Engine.takeEvents();
  CHECK(firstTokenAt(Events, 9) < firstTokenAt(Events, 2));
  CHECK(firstTokenAt(Events, 1) < firstTokenAt(Events, 9));
}

TEST_CASE("a cached prefix shortens the prefill and a full cache evicts") {
  EngineModelSettings Small = settings();
  Small.CacheBlocks = 3;
  Small.CacheEventDelay = 2s;
  EngineModel Engine(Small, Seed);
  EngineModelRequest First = request(1);
  First.Blocks = {11, 12, 13};
  CHECK(Engine.submit(First, Start));
  Engine.advance(Start + 1s);
  EngineModelRequest Second = First;
  Second.Request = {0, 2};
  CHECK(Engine.submit(Second, Start + 1s));
  Engine.advance(Start + 1min);
  CHECK(Engine.takeEvents().back().Counted.CachedPromptTokens == 768);
  CHECK(Engine.cache().events(0, Start + 2s).empty());
  CHECK(Engine.cache().events(0, Start + 3s).size() == 3);
  EngineModelRequest Third = request(3);
  Third.Blocks = {21};
  CHECK(Engine.submit(Third, Start + 1min));
  Engine.advance(Start + 2min);
  CHECK(Engine.cache().snapshot().Blocks.size() == 3);
  CHECK(Engine.cache().snapshot().Sequence == 5);
}

TEST_CASE("lost cache events leave gaps in the sequence numbers") {
  EngineModelCache Cache(1000, 0s, 0.5, Seed);
  std::vector<PrefixHash> Blocks(200);
  for (std::size_t I = 0; I < Blocks.size(); ++I)
    Blocks[I] = I + 1;
  Cache.store(Blocks, Start);
  auto Events = Cache.events(0, Start);
  CHECK(Events.size() > 50);
  CHECK(Events.size() < 150);
  CHECK(Cache.snapshot().Sequence == 200);
}

TEST_CASE("a load report lags by LoadLag") {
  EngineModelSettings Lagging = settings();
  Lagging.LoadLag = 5s;
  EngineModel Engine(Lagging, Seed);
  for (std::uint64_t I = 1; I <= 20; ++I)
    CHECK(Engine.submit(request(I, 900), Start));
  CHECK(Engine.load(Start + 4s).value().Running == 0);
  CHECK(Engine.load(Start + 5s).value().Waiting == 19);
  Engine.advance(Start + 6s);
  CHECK(Engine.load(Start + 6s).value().Running == 16);
  CHECK(Engine.load(Start + 6s).value().Waiting == 4);
}

TEST_CASE("a resumed stream has no gap and no repeat") {
  EngineModel Engine(settings(), Seed);
  CHECK(Engine.submit(request(1, 50), Start));
  Engine.advance(Start + 400ms);
  std::uint32_t Received = tokensOf(Engine.takeEvents(), 1) - 3;
  EngineModelRequest Again = request(1, 50);
  Again.Attempt = AttemptNumber{2};
  Again.ResumeAfterTokens = Received;
  CHECK(Engine.submit(Again, Start + 400ms));
  Engine.advance(Start + 1min);
  auto Events = Engine.takeEvents();
  CHECK(tokensOf(Events, 1, Received) == 50);
  CHECK(Events.front().Attempt == AttemptNumber{2});
  CHECK(Engine.submit(Again, Start + 1min));
  CHECK_MESSAGE(tokensOf(Engine.takeEvents(), 1, Received) == 50,
                "after the stream finished");
  EngineModel Other(settings(), Seed);
  CHECK(Other.submit(Again, Start));
  Other.advance(Start + 1min);
  CHECK_MESSAGE(tokensOf(Other.takeEvents(), 1, Received) == 50,
                "on another engine");
}

TEST_CASE("a cancelled stream reports the tokens generated so far") {
  EngineModel Engine(settings(), Seed);
  CHECK(Engine.submit(request(1, 500), Start));
  Engine.advance(Start + 1s);
  std::uint32_t Received = tokensOf(Engine.takeEvents(), 1);
  CHECK(Received > 0);
  auto Status = Engine.cancel({0, 1}, Start + 1s);
  CHECK(Status.value().Counted.GeneratedTokens == Received);
  CHECK(Engine.running() == 0);
  CHECK(Engine.cancel({0, 2}, Start + 1s).error() ==
        TargetError::UnknownStream);
}

TEST_CASE(
    "a stream continues from a transferred cache without a second prefill") {
  EngineModel From(settings(), Seed);
  EngineModel To(settings(), Seed);
  CHECK(From.submit(request(1, 100), Start));
  From.advance(Start + 1s);
  std::uint32_t Received = tokensOf(From.takeEvents(), 1);
  KvCache Transferred = From.exportKv({0, 1}, Start + 1s).value();
  CHECK(Transferred.GeneratedTokens == Received);
  CHECK(To.importKv(Transferred));
  EngineModelRequest Resumed = request(1, 100);
  Resumed.ResumeAfterTokens = Received;
  CHECK(To.submit(Resumed, Start + 1s));
  To.advance(Start + 1min);
  auto Events = To.takeEvents();
  CHECK(firstTokenAt(Events, 1) < Start + 1s + 10ms);
  CHECK(tokensOf(Events, 1, Received) == 100);
}

TEST_CASE(
    "an engine refuses a stale fencing number only if ChecksFence is set") {
  for (bool Checks : {true, false}) {
    EngineModelSettings Fenced = settings();
    Fenced.ChecksFence = Checks;
    EngineModel Engine(Fenced, Seed);
    EngineCommand Command;
    Command.Fence = 7;
    Command.Model = "n";
    CHECK(Engine.control(Command, Start));
    CHECK_FALSE(Engine.hasLoaded("n"));
    Engine.advance(Start + 10s);
    CHECK(Engine.hasLoaded("n"));
    Command.Fence = 6;
    Command.Kind = EngineCommandKind::Unload;
    CHECK(Engine.control(Command, Start + 10s).has_value() == !Checks);
    CHECK(Engine.hasLoaded("n") == Checks);
  }
}

TEST_CASE("a crashing request ends its engine and all streams on it") {
  EngineModel Engine(settings(), Seed);
  CHECK(Engine.submit(request(1, 500), Start));
  EngineModelRequest Poison = request(2);
  Poison.CrashesEngine = true;
  CHECK(Engine.submit(Poison, Start + 10ms));
  Engine.advance(Start + 1s);
  CHECK(Engine.isDown());
  auto Events = Engine.takeEvents();
  CHECK(Events.size() == 2);
  CHECK(Engine.submit(request(3), Start + 1s).error() ==
        TargetError::ConnectFailed);
  Engine.restart();
  CHECK(Engine.submit(request(3), Start + 2s));
}
