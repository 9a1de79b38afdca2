/// \file
/// The time that a router adds to a streamed answer, against calls of the
/// engine itself. Meta/bergamothook.sh starts the processes and names their
/// ports.

#include "Experiment.h"
#include "LibAdapter/EngineWire.h"
#include "LibBase/Random.h"
#include "LibHttp/HttpClient.h"
#include "LibTask/RealRuntime.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace bergamothook {

namespace {

constexpr std::uint32_t AnswerTokens = 20;
constexpr std::size_t RequestsPerStream = 12;
constexpr Duration RequestTimeout = std::chrono::seconds(60);
constexpr std::size_t Concurrencies[] = {1, 64, 512};

/// Times of all requests of one round.
struct Times {
  std::vector<double> FirstByteMs;
  std::vector<double> WholeMs;
  std::size_t Failures = 0;
};

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Place = std::lround(Share * static_cast<double>(Values.size() - 1));
  return Values[static_cast<std::size_t>(Place)];
}

HttpCall callOfEngine(std::uint16_t Port, Random &Dice) {
  GenerationRequest Order;
  Order.Request = Dice.next128();
  Order.Attempt = AttemptNumber{1};
  Order.Model = "bench";
  Order.Prompt = "<user>[tokens=" + std::to_string(AnswerTokens) + "]";
  Order.MaxTokens = AnswerTokens;
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = "127.0.0.1";
  Call.Port = Port;
  Call.Path = EngineStreamsPath;
  Call.Headers["content-type"] = "application/json";
  Call.Body = toJson(Order).dump();
  return Call;
}

HttpCall callOfRouter(std::uint16_t Port) {
  HttpCall Call;
  Call.Method = "POST";
  Call.Address = "127.0.0.1";
  Call.Port = Port;
  Call.Path = "/v1/chat/completions";
  Call.Headers["content-type"] = "application/json";
  Call.Headers["authorization"] = "Bearer bench-token";
  std::string Prompt = "[tokens=" + std::to_string(AnswerTokens) + "]";
  nlohmann::json Body{{"model", "bench"},
                      {"stream", true},
                      {"max_tokens", AnswerTokens},
                      {"messages", {{{"role", "user"}, {"content", Prompt}}}}};
  Call.Body = Body.dump();
  return Call;
}

/// Reads one answer to its end.
void timeOne(HttpClient &Http, const Runtime &Tasks, HttpCall Call,
             Times &Into) {
  TimePoint Start = Tasks.Now();
  TimePoint Deadline = Start + RequestTimeout;
  auto Milliseconds = [&] {
    return std::chrono::duration<double, std::milli>(Tasks.Now() - Start)
        .count();
  };
  auto Answer = Http.open(std::move(Call), Deadline);
  bool IsFirst = true;
  while (Answer && Answer.value().status() == 200) {
    auto Piece = Answer.value().next(Deadline);
    if (!Piece)
      break;
    if (!Piece.value()) {
      Into.WholeMs.push_back(Milliseconds());
      return;
    }
    if (IsFirst)
      Into.FirstByteMs.push_back(Milliseconds());
    IsFirst = false;
  }
  ++Into.Failures;
}

Times runRound(HttpClient &Http, const Runtime &Tasks, std::size_t Streams,
               const std::function<HttpCall()> &MakeCall) {
  auto Measured = std::make_shared<Times>();
  auto Left = std::make_shared<std::size_t>(Streams);
  Event Ended;
  for (std::size_t Stream = 0; Stream < Streams; ++Stream)
    Tasks.Spawn([&, Measured, Left] {
      for (std::size_t Number = 0; Number < RequestsPerStream; ++Number)
        timeOne(Http, Tasks, MakeCall(), *Measured);
      --*Left;
      Ended.notify();
    });
  Tasks.waitUntil(Ended, Tasks.Now() + std::chrono::minutes(5),
                  [&] { return *Left == 0; });
  return *Measured;
}

void report(const RowSink &Sink, std::uint64_t Seed, const std::string &Design,
            const Times &Measured) {
  auto Add = [&](const char *Metric, double Value, const char *Unit) {
    Sink({"overhead", Design, Metric, Value, Unit, Seed});
  };
  Add("first byte p50", quantile(Measured.FirstByteMs, 0.5), "ms");
  Add("first byte p99", quantile(Measured.FirstByteMs, 0.99), "ms");
  Add("whole p50", quantile(Measured.WholeMs, 0.5), "ms");
  Add("whole p99", quantile(Measured.WholeMs, 0.99), "ms");
  Add("failures", static_cast<double>(Measured.Failures), "requests");
}

void runOverhead(const ExperimentOptions &Options, const RowSink &Sink) {
  if (Options.Arguments.size() != 2)
    throw std::invalid_argument(
        "overhead needs the port of a router and the port of an engine; "
        "Meta/bergamothook.sh bench overhead starts both");
  auto RouterPort =
      static_cast<std::uint16_t>(std::stoul(Options.Arguments[0]));
  auto EnginePort =
      static_cast<std::uint16_t>(std::stoul(Options.Arguments[1]));
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  HttpClient Http(Tasks);
  Random Dice(Options.Seed);
  for (std::size_t Streams : Concurrencies) {
    std::string Suffix = ", " + std::to_string(Streams) + " streams";
    report(Sink, Options.Seed, "direct" + Suffix,
           runRound(Http, Tasks, Streams,
                    [&] { return callOfEngine(EnginePort, Dice); }));
    report(Sink, Options.Seed, "router" + Suffix,
           runRound(Http, Tasks, Streams,
                    [&] { return callOfRouter(RouterPort); }));
  }
}

const ExperimentRegistration Registration(
    "overhead",
    "a router's added time and memory (PORT-OF-ROUTER PORT-OF-ENGINE)",
    runOverhead);

} // namespace

} // namespace bergamothook
