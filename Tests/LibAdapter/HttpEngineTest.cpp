#include "LibAdapter/HttpEngine.h"
#include "LibStandin/TokenText.h"
#include "LibStandinServer/EngineStandin.h"
#include "StandinFixture.h"

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const RequestId TestRequest{1, 2};

GenerationRequest generationOf(std::uint32_t Tokens) {
  GenerationRequest Generation;
  Generation.Request = TestRequest;
  Generation.Attempt = AttemptNumber{1};
  Generation.Model = "small";
  Generation.Prompt =
      "mend the fountain [tokens=" + std::to_string(Tokens) + "]";
  Generation.MaxTokens = 10000;
  return Generation;
}

struct EngineTest {
  StandinTest &Standin;
  EngineHooks Engines;
  TargetAddress Target;

  Result<EngineStream> open(const GenerationRequest &Generation) {
    return this->Engines.Open(this->Target, Generation,
                              this->Standin.deadline());
  }
};

void withEngine(const std::function<void(EngineTest &)> &Test) {
  RealRuntime Real;
  EngineModelSettings Limits;
  Limits.Models = {"small"};
  Limits.StepBase = 1ms;
  StandinServer *Server = nullptr;
  EngineStandin Role(Limits, 1, Real.hooks(),
                     [&] { Server->restartAfter(10ms); });
  bool HasEnded = false;
  Real.post([&] {
    Role.run();
    HasEnded = true;
  });
  serveWhile(
      Real, handlerOf(Role),
      [&](StandinTest &Fixture) {
        Server = &Fixture.Server;
        EngineTest EngineFixture{Fixture,
                                 makeHttpEngines(Fixture.Client),
                                 {"127.0.0.1", Fixture.Server.port()}};
        Test(EngineFixture);
      },
      [&] {
        Role.stop();
        while (!HasEnded)
          Real.hooks().sleepUntil(Real.hooks().Now() + 1ms);
      });
}

/// The result of reading a stream to its end or to its first failure.
struct ReadResult {
  std::string Text;
  std::uint32_t Tokens = 0;
  std::optional<StreamChunk> Last;
  std::error_code Failure;
};

ReadResult readAll(EngineStream &Stream, const StandinTest &Standin,
                   Duration Timeout = 10s) {
  ReadResult Received;
  while (!Received.Last) {
    auto Chunk = Stream.Next(Standin.Tasks.Now() + Timeout);
    if (!Chunk) {
      Received.Failure = Chunk.error();
      return Received;
    }
    Received.Text += Chunk.value().Text;
    Received.Tokens += Chunk.value().Tokens;
    if (Chunk.value().IsLast)
      Received.Last = Chunk.value();
  }
  return Received;
}

} // namespace

TEST_CASE("a stream is received completely, with the engine's token counts") {
  withEngine([](EngineTest &Test) {
    auto Stream = Test.open(generationOf(40));
    REQUIRE(Stream);
    ReadResult Received = readAll(Stream.value(), Test.Standin);
    REQUIRE(Received.Last);
    CHECK(Received.Text == tokensText(TestRequest, 0, 40));
    CHECK(Received.Last->Counted.GeneratedTokens == 40);
    CHECK(Received.Last->Attempt == AttemptNumber{1});
  });
}

TEST_CASE("a stream that was cut off resumes without gaps or duplicates, and "
          "runs once") {
  withEngine([](EngineTest &Test) {
    Test.Standin.post("/faults", {{"cut_next", 1}, {"fate_after_tokens", 5}});
    auto First = Test.open(generationOf(60));
    REQUIRE(First);
    ReadResult Before = readAll(First.value(), Test.Standin);
    CHECK(Before.Failure == TargetError::ConnectionLost);
    GenerationRequest Again = generationOf(60);
    Again.Attempt = AttemptNumber{2};
    Again.ResumeAfterTokens = Before.Tokens;
    auto Second = Test.open(Again);
    REQUIRE(Second);
    ReadResult After = readAll(Second.value(), Test.Standin);
    CHECK(Before.Text + After.Text == tokensText(TestRequest, 0, 60));
    auto Ledger = Test.Standin.get("/ledger")["runs"];
    REQUIRE(Ledger.size() == 1);
    CHECK(Ledger[0]["opens"] == 2);
    CHECK(Ledger[0]["generated_tokens"] == 60);
  });
}

TEST_CASE(
    "a timed out connection is no dead engine: a probe over a new one works") {
  withEngine([](EngineTest &Test) {
    Test.Standin.post("/faults",
                      {{"silent_next", 1}, {"fate_after_tokens", 0}});
    auto Stream = Test.open(generationOf(20));
    REQUIRE(Stream);
    ReadResult Received = readAll(Stream.value(), Test.Standin, 100ms);
    CHECK(Received.Failure == TargetError::TimedOut);
    CHECK(
        Test.Engines.Probe(Test.Target, TestRequest, Test.Standin.deadline()));
  });
}

TEST_CASE(
    "a request with a crash marker crashes the engine, which restarts empty") {
  withEngine([](EngineTest &Test) {
    GenerationRequest Poison = generationOf(20);
    Poison.Prompt += " [crash]";
    auto Stream = Test.open(Poison);
    // The crash may happen before or after the response headers are sent.
    std::error_code Observed =
        Stream ? readAll(Stream.value(), Test.Standin).Failure : Stream.error();
    CHECK(Observed == TargetError::ConnectionLost);
    auto Status =
        Test.Engines.Probe(Test.Target, TestRequest, Test.Standin.deadline());
    while (Status.has_error() && Status.error() != TargetError::UnknownStream)
      Status =
          Test.Engines.Probe(Test.Target, TestRequest, Test.Standin.deadline());
    CHECK(Test.Standin.get("/ledger")["runs"][0]["outcome"] == "crashed");
  });
}

TEST_CASE("cancel ends a generation and returns its token counts") {
  withEngine([](EngineTest &Test) {
    auto Stream = Test.open(generationOf(5000));
    REQUIRE(Stream);
    REQUIRE(Stream.value().Next(Test.Standin.deadline()));
    auto Status =
        Test.Engines.Cancel(Test.Target, TestRequest, Test.Standin.deadline());
    REQUIRE(Status);
    CHECK_FALSE(Status.value().IsRunning);
    ReadResult Received = readAll(Stream.value(), Test.Standin);
    REQUIRE(Received.Last);
    CHECK(Received.Last->Reason == FinishReason::Cancelled);
    CHECK(Received.Last->Counted.GeneratedTokens ==
          Status.value().Counted.GeneratedTokens);
  });
}

TEST_CASE("each rejection by an engine proves that nothing ran") {
  withEngine([](EngineTest &Test) {
    GenerationRequest Generation = generationOf(20);
    Generation.Model = "absent";
    CHECK(Test.open(Generation).error() == TargetError::Refused);
    Generation = generationOf(20);
    Generation.MaxTokens = 0;
    CHECK(Test.open(Generation).error() == TargetError::BadRequest);
    Generation = generationOf(20);
    Generation.ResumeAfterTokens = 3;
    Generation.MustResume = true;
    CHECK(Test.open(Generation).error() == TargetError::UnknownStream);
    Test.Standin.post("/faults", {{"is_leaving", true}});
    CHECK(Test.open(generationOf(20)).error() == TargetError::Refused);
    auto Load = Test.Engines.ReadLoad(Test.Target, Test.Standin.deadline());
    CHECK(Load.value().IsLeaving);
    CHECK(Test.Standin.get("/ledger")["runs"].empty());
  });
}

TEST_CASE("commands with a stale fencing number are rejected") {
  withEngine([](EngineTest &Test) {
    auto Control = makeHttpEngineControl(Test.Standin.Client);
    EngineCommand Command;
    Command.Fence = 5;
    Command.Kind = EngineCommandKind::Unload;
    Command.Model = "small";
    CHECK(Control.Send(Test.Target, Command, Test.Standin.deadline()));
    CHECK(Test.open(generationOf(20)).error() == TargetError::Refused);
    Command.Fence = 4;
    Command.Kind = EngineCommandKind::Load;
    auto Old = Control.Send(Test.Target, Command, Test.Standin.deadline());
    CHECK(Old.error() == TargetError::StaleFencingNumber);
  });
}

TEST_CASE(
    "a finished prompt appears in the cache events and the cache snapshot") {
  withEngine([](EngineTest &Test) {
    GenerationRequest Generation = generationOf(4);
    Generation.Prompt += std::string(3 * PrefixBlockBytes, 'x');
    auto Stream = Test.open(Generation);
    REQUIRE(Stream);
    REQUIRE(readAll(Stream.value(), Test.Standin).Last);
    auto Caches = makeHttpCaches(Test.Standin.Client);
    CacheSnapshot Snapshot =
        Caches.ReadSnapshot(Test.Target, Test.Standin.deadline()).value();
    CHECK(Snapshot.Blocks.size() == 3);
    CHECK(Snapshot.Sequence == 3);
    std::size_t Seen = 0;
    TimePoint Limit = Test.Standin.deadline();
    while (Seen < 3 && Test.Standin.Tasks.Now() < Limit)
      Seen = Caches.ReadEvents(Test.Target, 0, Test.Standin.deadline())
                 .value()
                 .size();
    CHECK(Seen == 3);
    Generation.Request = RequestId{3, 4};
    auto Again = Test.open(Generation);
    REQUIRE(Again);
    ReadResult Received = readAll(Again.value(), Test.Standin);
    CHECK(Received.Last->Counted.CachedPromptTokens == 3 * PrefixBlockTokens);
  });
}

TEST_CASE("a stream is exported and imported together with its cache") {
  withEngine([](EngineTest &Test) {
    auto Stream = Test.open(generationOf(5000));
    REQUIRE(Stream);
    REQUIRE(Stream.value().Next(Test.Standin.deadline()));
    auto Moved = Test.Standin.post("/engine/kv/export",
                                   {{"request", toHex(TestRequest)}});
    CHECK(Moved["generated_tokens"] >= 1);
    CHECK(readAll(Stream.value(), Test.Standin).Failure ==
          TargetError::ConnectionLost);
    CHECK(Test.Standin.post("/engine/kv/import", Moved)["done"] == true);
    CHECK(Test.Standin.get("/ledger")["runs"][0]["outcome"] == "moved");
  });
}
