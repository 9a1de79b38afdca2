/// \file
/// bench routing: the ways to choose a target against each other, with and
/// without faults. A word after the name limits the run to cells whose name
/// holds it.

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

/// Adds the design and its earlier versions, each of which is the one before
/// with one change.
void addVersions(std::vector<RoutingDesign> &All) {
  RoutingDesign Next;
  Next.Name = "v1-own-correction";
  Next.UsesAdmission = false;
  Next.UsesPrefixes = false;
  Next.Table.PeerShare = 0;
  Next.Chooser.PrefillWeight = 1;
  All.push_back(Next);
  Next.Name = "v2-prefixes";
  Next.UsesPrefixes = true;
  All.push_back(Next);
  Next.Name = "v3-all-peers";
  Next.Table.PeerShare = 1;
  All.push_back(Next);
  Next.Name = "v4-prefill-weight";
  Next.Table = TargetTableSettings();
  Next.Chooser = ChooserSettings();
  All.push_back(Next);
  Next.Name = "v5-queue";
  Next.UsesAdmission = true;
  Next.Concurrency.FirstTokenTarget = std::chrono::hours(1);
  All.push_back(Next);
  RoutingDesign Whole;
  Whole.Name = "design";
  All.push_back(Whole);
}

std::vector<RoutingDesign> designs() {
  std::vector<RoutingDesign> All{
      baseline("random", Baseline::Random),
      baseline("round-robin", Baseline::RoundRobin),
      baseline("least-reported", Baseline::LeastReported),
      baseline("two-choices", Baseline::TwoChoices),
      baseline("queue-over-speed", Baseline::QueueOverSpeed),
      baseline("load-push", Baseline::LoadPush)};
  addVersions(All);
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

/// What a site can finish, in requests per second.
struct Capacity {
  double RoundRobin = 0;
  double Own = 0;
};

Capacity measure(const RoutingSite &Site, std::uint64_t Seed,
                 const RowSink &Sink) {
  Capacity Measured;
  RoutingDesign Known = baseline("round-robin", Baseline::RoundRobin);
  Measured.RoundRobin = measureCapacity(Site, Known, Seed);
  Measured.Own =
      measureSustained(Site, RoutingDesign(), Measured.RoundRobin, Seed);
  Sink({"routing", "round-robin", Site.Name + " capacity", Measured.RoundRobin,
        "req/s", Seed});
  Sink({"routing", "design", Site.Name + " capacity", Measured.Own, "req/s",
        Seed});
  return Measured;
}

void runRouting(const ExperimentOptions &Options, const RowSink &Sink) {
  std::string Wanted =
      Options.Arguments.empty() ? std::string() : Options.Arguments.front();
  std::map<std::string, Capacity> Capacities;
  for (const RoutingCell &Cell : routingCells()) {
    if (Cell.Name.find(Wanted) == std::string::npos)
      continue;
    if (!Capacities.contains(Cell.Site.Name))
      Capacities[Cell.Site.Name] = measure(Cell.Site, Options.Seed, Sink);
    const Capacity &Site = Capacities[Cell.Site.Name];
    double Rate =
        Cell.Load * (Cell.IsOfOwnCapacity ? Site.Own : Site.RoundRobin);
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
