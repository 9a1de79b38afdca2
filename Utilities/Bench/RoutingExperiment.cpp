/// \file
/// bench routing: the ways to choose a target against each other, with and
/// without faults. A word after the name limits the run to cells whose name
/// holds it; "quick" runs the cells of one site only.

#include "Experiment.h"
#include "RoutingSimulation.h"

#include <map>

namespace bergamothook {

namespace {

RoutingDesign baseline(const std::string &Name, Baseline Kind) {
  RoutingDesign Design;
  Design.Name = Name;
  Design.Known = Kind;
  Design.UsesAdmission = false;
  Design.UsesPrefixes = false;
  return Design;
}

std::vector<RoutingDesign> designs() {
  std::vector<RoutingDesign> All{
      baseline("random", Baseline::Random),
      baseline("round-robin", Baseline::RoundRobin),
      baseline("least-reported", Baseline::LeastReported),
      baseline("two-choices", Baseline::TwoChoices),
      baseline("queue-over-speed", Baseline::QueueOverSpeed),
      baseline("load-push", Baseline::LoadPush)};
  RoutingDesign First;
  First.Name = "v1-own-correction";
  First.UsesAdmission = false;
  First.UsesPrefixes = false;
  First.Table.PeerShare = 0;
  All.push_back(First);
  RoutingDesign Second = First;
  Second.Name = "v2-prefixes";
  Second.UsesPrefixes = true;
  All.push_back(Second);
  RoutingDesign Third = Second;
  Third.Name = "v3-peers";
  Third.Table.PeerShare = 1;
  All.push_back(Third);
  RoutingDesign Whole;
  Whole.Name = "design";
  All.push_back(Whole);
  return All;
}

void report(const RoutingCell &Cell, const RoutingDesign &Design,
            RoutingFigures &Figures, std::uint64_t Seed, const RowSink &Sink) {
  auto Add = [&](const std::string &Metric, double Value,
                 const std::string &Unit) {
    Sink({"routing", Design.Name, Cell.Name + " " + Metric, Value, Unit, Seed});
  };
  Add("ttft-quick-p50", Figures.QuickFirstToken.quantile(0.5), "ms");
  Add("ttft-quick-p95", Figures.QuickFirstToken.quantile(0.95), "ms");
  Add("ttft-quick-p99", Figures.QuickFirstToken.quantile(0.99), "ms");
  Add("ttft-draft-p99", Figures.DraftFirstToken.quantile(0.99), "ms");
  Add("token-gap-p50", Figures.TokenGap.quantile(0.5), "ms");
  Add("token-gap-p95", Figures.TokenGap.quantile(0.95), "ms");
  Add("token-gap-p99", Figures.TokenGap.quantile(0.99), "ms");
  Add("late-quick", Figures.Classes[0].lateShare(), "share");
  Add("late-draft", Figures.Classes[2].lateShare(), "share");
  Add("cache-hit", Figures.cacheShare(), "share");
  Add("goodput", Figures.goodput(), "req/s");
  Add("amplification", Figures.amplification(), "ratio");
  Add("not-run", static_cast<double>(Figures.Refused), "requests");
  if (!Cell.HasBurst)
    return;
  auto BurstEnd =
      static_cast<std::size_t>(Cell.Length / 2 / std::chrono::seconds(1));
  Add("recovery", Figures.recoverySeconds(BurstEnd), "s");
}

void runRouting(const ExperimentOptions &Options, const RowSink &Sink) {
  std::string Wanted =
      Options.Arguments.empty() ? std::string() : Options.Arguments.front();
  std::map<std::string, double> Capacities;
  for (const RoutingCell &Cell : routingCells()) {
    if (Cell.Name.find(Wanted) == std::string::npos)
      continue;
    if (!Capacities.contains(Cell.Site.Name)) {
      double Measured = measureCapacity(Cell.Site, Options.Seed);
      Capacities[Cell.Site.Name] = Measured;
      Sink({"routing", "round-robin", Cell.Site.Name + " capacity", Measured,
            "req/s", Options.Seed});
    }
    double Rate = Cell.Load * Capacities[Cell.Site.Name];
    for (const RoutingDesign &Design : designs()) {
      RoutingSimulation Run(Cell, Design, Rate, Options.Seed);
      RoutingFigures Figures = Run.run();
      report(Cell, Design, Figures, Options.Seed, Sink);
    }
  }
}

const ExperimentRegistration Registration{
    "routing", "choice of targets and admission under load and faults",
    runRouting};

} // namespace

} // namespace bergamothook
