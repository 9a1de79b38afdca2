#include "LibAdapter/HttpEngine.h"
#include "LibStandin/TokenText.h"
#include "LibStandinServer/EngineStandin.h"
#include "StandinFixture.h"

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const RequestId Asked{1, 2};

GenerationRequest orderOf(std::uint32_t Tokens) {
  GenerationRequest Order;
  Order.Request = Asked;
  Order.Attempt = AttemptNumber{1};
  Order.Model = "small";
  Order.Prompt = "mend the fountain [tokens=" + std::to_string(Tokens) + "]";
  Order.MaxTokens = 10000;
  return Order;
}

struct EngineTest {
  StandinTest &Standin;
  EngineHooks Engines;
  TargetAddress Target;

  Result<EngineStream> open(const GenerationRequest &Order) {
    return this->Engines.Open(this->Target, Order, this->Standin.soon());
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
      [&](StandinTest &Handed) {
        Server = &Handed.Server;
        EngineTest Made{Handed,
                        makeHttpEngines(Handed.Client),
                        {"127.0.0.1", Handed.Server.port()}};
        Test(Made);
      },
      [&] {
        Role.stop();
        while (!HasEnded)
          Real.hooks().sleepUntil(Real.hooks().Now() + 1ms);
      });
}

/// Reads a stream to its end, or to its first failure.
struct Read {
  std::string Text;
  std::uint32_t Tokens = 0;
  std::optional<StreamChunk> Last;
  std::error_code Failure;
};

Read readAll(EngineStream &Stream, const StandinTest &Standin,
             Duration Patience = 10s) {
  Read Got;
  while (!Got.Last) {
    auto Piece = Stream.Next(Standin.Tasks.Now() + Patience);
    if (!Piece) {
      Got.Failure = Piece.error();
      return Got;
    }
    Got.Text += Piece.value().Text;
    Got.Tokens += Piece.value().Tokens;
    if (Piece.value().IsLast)
      Got.Last = Piece.value();
  }
  return Got;
}

} // namespace

TEST_CASE("a stream arrives whole, with the engine's count") {
  withEngine([](EngineTest &Test) {
    auto Stream = Test.open(orderOf(40));
    REQUIRE(Stream);
    Read Got = readAll(Stream.value(), Test.Standin);
    REQUIRE(Got.Last);
    CHECK(Got.Text == tokensText(Asked, 0, 40));
    CHECK(Got.Last->Counted.GeneratedTokens == 40);
    CHECK(Got.Last->Attempt == AttemptNumber{1});
  });
}

TEST_CASE("a cut stream resumes without a gap or a repeat, and runs once") {
  withEngine([](EngineTest &Test) {
    Test.Standin.post("/faults", {{"cut_next", 1}, {"fate_after_tokens", 5}});
    auto First = Test.open(orderOf(60));
    REQUIRE(First);
    Read Before = readAll(First.value(), Test.Standin);
    CHECK(Before.Failure == TargetError::ConnectionLost);
    GenerationRequest Again = orderOf(60);
    Again.Attempt = AttemptNumber{2};
    Again.ResumeAfterTokens = Before.Tokens;
    auto Second = Test.open(Again);
    REQUIRE(Second);
    Read After = readAll(Second.value(), Test.Standin);
    CHECK(Before.Text + After.Text == tokensText(Asked, 0, 60));
    auto Ledger = Test.Standin.get("/ledger")["runs"];
    REQUIRE(Ledger.size() == 1);
    CHECK(Ledger[0]["opens"] == 2);
    CHECK(Ledger[0]["generated_tokens"] == 60);
  });
}

TEST_CASE(
    "a silent connection is no dead engine: a probe over a new one works") {
  withEngine([](EngineTest &Test) {
    Test.Standin.post("/faults",
                      {{"silent_next", 1}, {"fate_after_tokens", 0}});
    auto Stream = Test.open(orderOf(20));
    REQUIRE(Stream);
    Read Got = readAll(Stream.value(), Test.Standin, 100ms);
    CHECK(Got.Failure == TargetError::TimedOut);
    CHECK(Test.Engines.Probe(Test.Target, Asked, Test.Standin.soon()));
  });
}

TEST_CASE("a marked request crashes the engine, and it comes back empty") {
  withEngine([](EngineTest &Test) {
    GenerationRequest Poison = orderOf(20);
    Poison.Prompt += " [crash]";
    auto Stream = Test.open(Poison);
    // The crash may come before or after the headers of the answer.
    std::error_code Seen =
        Stream ? readAll(Stream.value(), Test.Standin).Failure : Stream.error();
    CHECK(Seen == TargetError::ConnectionLost);
    auto Status = Test.Engines.Probe(Test.Target, Asked, Test.Standin.soon());
    while (Status.has_error() && Status.error() != TargetError::UnknownStream)
      Status = Test.Engines.Probe(Test.Target, Asked, Test.Standin.soon());
    CHECK(Test.Standin.get("/ledger")["runs"][0]["outcome"] == "crashed");
  });
}

TEST_CASE("cancel ends a generation and tells what was counted") {
  withEngine([](EngineTest &Test) {
    auto Stream = Test.open(orderOf(5000));
    REQUIRE(Stream);
    REQUIRE(Stream.value().Next(Test.Standin.soon()));
    auto Status = Test.Engines.Cancel(Test.Target, Asked, Test.Standin.soon());
    REQUIRE(Status);
    CHECK_FALSE(Status.value().IsRunning);
    Read Got = readAll(Stream.value(), Test.Standin);
    REQUIRE(Got.Last);
    CHECK(Got.Last->Reason == FinishReason::Cancelled);
    CHECK(Got.Last->Counted.GeneratedTokens ==
          Status.value().Counted.GeneratedTokens);
  });
}

TEST_CASE("each refusal of an engine proves that nothing ran") {
  withEngine([](EngineTest &Test) {
    GenerationRequest Order = orderOf(20);
    Order.Model = "absent";
    CHECK(Test.open(Order).error() == TargetError::Refused);
    Order = orderOf(20);
    Order.MaxTokens = 0;
    CHECK(Test.open(Order).error() == TargetError::BadRequest);
    Order = orderOf(20);
    Order.ResumeAfterTokens = 3;
    Order.MustResume = true;
    CHECK(Test.open(Order).error() == TargetError::UnknownStream);
    Test.Standin.post("/faults", {{"is_leaving", true}});
    CHECK(Test.open(orderOf(20)).error() == TargetError::Refused);
    auto Load = Test.Engines.ReadLoad(Test.Target, Test.Standin.soon());
    CHECK(Load.value().IsLeaving);
    CHECK(Test.Standin.get("/ledger")["runs"].empty());
  });
}

TEST_CASE("orders with an old fencing number are refused") {
  withEngine([](EngineTest &Test) {
    auto Control = makeHttpEngineControl(Test.Standin.Client);
    EngineCommand Order;
    Order.Fence = 5;
    Order.Kind = EngineCommandKind::Unload;
    Order.Model = "small";
    CHECK(Control.Send(Test.Target, Order, Test.Standin.soon()));
    CHECK(Test.open(orderOf(20)).error() == TargetError::Refused);
    Order.Fence = 4;
    Order.Kind = EngineCommandKind::Load;
    auto Old = Control.Send(Test.Target, Order, Test.Standin.soon());
    CHECK(Old.error() == TargetError::StaleFencingNumber);
  });
}

TEST_CASE("a finished prompt shows in the events and in the whole cache") {
  withEngine([](EngineTest &Test) {
    GenerationRequest Order = orderOf(4);
    Order.Prompt += std::string(3 * PrefixBlockBytes, 'x');
    auto Stream = Test.open(Order);
    REQUIRE(Stream);
    REQUIRE(readAll(Stream.value(), Test.Standin).Last);
    auto Caches = makeHttpCaches(Test.Standin.Client);
    CacheSnapshot Whole =
        Caches.ReadSnapshot(Test.Target, Test.Standin.soon()).value();
    CHECK(Whole.Blocks.size() == 3);
    CHECK(Whole.Sequence == 3);
    std::size_t Seen = 0;
    TimePoint Limit = Test.Standin.soon();
    while (Seen < 3 && Test.Standin.Tasks.Now() < Limit)
      Seen =
          Caches.ReadEvents(Test.Target, 0, Test.Standin.soon()).value().size();
    CHECK(Seen == 3);
    Order.Request = RequestId{3, 4};
    auto Again = Test.open(Order);
    REQUIRE(Again);
    Read Got = readAll(Again.value(), Test.Standin);
    CHECK(Got.Last->Counted.CachedPromptTokens == 3 * PrefixBlockTokens);
  });
}

TEST_CASE("a stream moves with its cache") {
  withEngine([](EngineTest &Test) {
    auto Stream = Test.open(orderOf(5000));
    REQUIRE(Stream);
    REQUIRE(Stream.value().Next(Test.Standin.soon()));
    auto Moved =
        Test.Standin.post("/engine/kv/export", {{"request", toHex(Asked)}});
    CHECK(Moved["generated_tokens"] >= 1);
    CHECK(readAll(Stream.value(), Test.Standin).Failure ==
          TargetError::ConnectionLost);
    CHECK(Test.Standin.post("/engine/kv/import", Moved)["done"] == true);
    CHECK(Test.Standin.get("/ledger")["runs"][0]["outcome"] == "moved");
  });
}
