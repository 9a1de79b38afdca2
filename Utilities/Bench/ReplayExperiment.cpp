#include "Experiment.h"
#include "LibReplay/TraceFile.h"

#include <fstream>
#include <iostream>
#include <stdexcept>

using namespace bergamothook;

namespace {

ScenarioReport replayFile(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    throw std::runtime_error("cannot read " + File);
  std::size_t Line = 0;
  auto Read = readTrace(In, Line);
  if (!Read)
    throw std::runtime_error(File + ", line " + std::to_string(Line) + ": " +
                             Read.error().message());
  std::cout << File << ": " << Read.value().Name << "\n";
  return runScenario(Read.value());
}

void replay(const ExperimentOptions &Options, const RowSink &Sink) {
  if (Options.Arguments.empty())
    throw std::runtime_error("replay needs the file of a trace");
  std::size_t Failed = 0;
  for (const auto &File : Options.Arguments) {
    ScenarioReport Report = replayFile(File);
    for (const auto &Broken : Report.Violations)
      std::cout << "  broken: " << Broken << "\n";
    for (const auto &Difference : Report.Differences)
      std::cout << "  differs: " << Difference << "\n";
    auto Count = [&](const char *Metric, std::size_t Value) {
      Sink({"replay", File, Metric, static_cast<double>(Value), "",
            Options.Seed});
    };
    Count("requests", Report.Requests.size());
    Count("broken invariants", Report.Violations.size());
    Count("different outcomes", Report.Differences.size());
    Failed += Report.Violations.size() + Report.Differences.size();
  }
  if (Failed > 0)
    throw std::runtime_error("the replay differs from what is stated");
}

const ExperimentRegistration
    Registration("replay", "runs the recorded traces named, in virtual time",
                 replay);

} // namespace
