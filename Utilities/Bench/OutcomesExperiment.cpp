#include "Experiment.h"
#include "LibBase/Random.h"
#include "LibReplay/Scenario.h"

using namespace bergamothook;

namespace {

constexpr std::size_t RunsPerFault = 200;
constexpr std::size_t OrdersPerRun = 3;
constexpr std::size_t StreamsPerRun = 2;
constexpr std::size_t StreamsOfStorm = 300;
constexpr Milliseconds StormInterval{20};
constexpr Milliseconds StormSpan{600'000};
constexpr double PerThousand = 1000;

const char *nameOf(ReplayPolicy Policy) {
  switch (Policy) {
  case ReplayPolicy::Project:
    return "project";
  case ReplayPolicy::PlainRetry:
    return "plain retry";
  case ReplayPolicy::NoRetry:
    return "no retry";
  }
  return "";
}

ScenarioRequest makeRequest(RequestKind Kind, std::size_t Number,
                            ReplayPolicy Policy, Random &Dice) {
  ScenarioRequest Made;
  Made.Kind = Kind;
  Made.Key = std::string(bergamothook::nameOf(Kind)) + std::to_string(Number);
  Made.Body = "body " + Made.Key;
  Made.Host = Dice.below(3);
  Made.At = Milliseconds(Dice.below(500));
  if (Policy == ReplayPolicy::NoRetry)
    Made.Attempts = 1;
  return Made;
}

/// Some requests, and one fault at a random step of each.
Scenario faultyScenario(FaultKind Fault, ReplayPolicy Policy,
                        std::uint64_t Seed) {
  Random Dice(Seed);
  Scenario Made;
  Made.Seed = Seed;
  Made.Policy = Policy;
  for (std::size_t At = 0; At < OrdersPerRun; ++At)
    Made.Requests.push_back(makeRequest(RequestKind::Order, At, Policy, Dice));
  for (std::size_t At = 0; At < StreamsPerRun; ++At)
    Made.Requests.push_back(makeRequest(RequestKind::Stream, At, Policy, Dice));
  ScenarioFault Struck;
  Struck.Kind = Fault;
  Struck.Request = Dice.below(Made.Requests.size());
  Struck.At = static_cast<Step>(Dice.below(StepCount));
  Made.Faults = {Struck};
  return Made;
}

/// What the runs under one fault came to.
struct Tally {
  void add(const Scenario &Played, const ScenarioReport &Report) {
    for (std::size_t At = 0; At < Played.Requests.size(); ++At) {
      const auto &Answers = Report.Requests[At].Outcomes;
      bool IsOrder = Played.Requests[At].Kind == RequestKind::Order;
      this->Orders += IsOrder ? 1 : 0;
      this->Streams += IsOrder ? 0 : 1;
      bool IsOpen = Answers.empty() || Answers.back() == Outcome::Unknown ||
                    Answers.back() == Outcome::InProgress;
      this->Unknown += IsOrder && IsOpen ? 1 : 0;
    }
    this->Doubled += Report.DoubledOrders;
    this->FalseNotRun += Report.FalseNotRun;
    this->Cut += Report.TruncatedResponses;
  }

  double Orders = 0;
  double Streams = 0;
  double Doubled = 0;
  double FalseNotRun = 0;
  double Cut = 0;
  double Unknown = 0;
};

void report(const Tally &Seen, const std::string &Fault, ReplayPolicy Policy,
            std::uint64_t Seed, const RowSink &Sink) {
  auto Row = [&](const std::string &Metric, double Count, double Of) {
    Sink({"outcomes", nameOf(Policy), Fault + ": " + Metric,
          Of > 0 ? Count / Of * PerThousand : 0, "per 1000", Seed});
  };
  Row("doubled orders", Seen.Doubled, Seen.Orders);
  Row("false not-run", Seen.FalseNotRun, Seen.Orders);
  Row("unknown orders", Seen.Unknown, Seen.Orders);
  Row("cut answers", Seen.Cut, Seen.Streams);
}

/// Many streams while one of three engines refuses all that it is sent.
void runStorm(ReplayPolicy Policy, std::uint64_t Seed, const RowSink &Sink) {
  Random Dice(Seed);
  Scenario Made;
  Made.Seed = Seed;
  Made.Policy = Policy;
  for (std::size_t At = 0; At < StreamsOfStorm; ++At) {
    Made.Requests.push_back(makeRequest(RequestKind::Stream, At, Policy, Dice));
    Made.Requests.back().At = StormInterval * At;
  }
  ScenarioFault Refusal;
  Refusal.Kind = FaultKind::TargetRefusal;
  Refusal.Span = StormSpan;
  Made.Faults = {Refusal};
  ScenarioReport Report = runScenario(Made);
  Sink({"outcomes", nameOf(Policy), "a third of engines fails: amplification",
        static_cast<double>(Report.EngineAttempts) / StreamsOfStorm, "", Seed});
  Sink({"outcomes", nameOf(Policy), "a third of engines fails: cut answers",
        Report.TruncatedResponses * PerThousand / StreamsOfStorm, "per 1000",
        Seed});
}

void runOutcomes(const ExperimentOptions &Options, const RowSink &Sink) {
  for (ReplayPolicy Policy : {ReplayPolicy::Project, ReplayPolicy::PlainRetry,
                              ReplayPolicy::NoRetry}) {
    Tally All;
    for (std::size_t Fault = 0; Fault < FaultKindCount; ++Fault) {
      Tally Seen;
      auto Kind = static_cast<FaultKind>(Fault);
      for (std::size_t Run = 0; Run < RunsPerFault; ++Run) {
        Scenario Played =
            faultyScenario(Kind, Policy, Options.Seed * 1'000'000 + Run);
        ScenarioReport Report = runScenario(Played);
        Seen.add(Played, Report);
        All.add(Played, Report);
      }
      report(Seen, bergamothook::nameOf(Kind), Policy, Options.Seed, Sink);
    }
    report(All, "all faults", Policy, Options.Seed, Sink);
    runStorm(Policy, Options.Seed, Sink);
  }
}

const ExperimentRegistration
    Registration("outcomes",
                 "doubled orders, false refusals, cut answers and unknowns "
                 "under each fault, against plain retry and no retry",
                 runOutcomes);

} // namespace
