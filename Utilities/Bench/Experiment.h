/// \file
/// How an experiment registers itself with the bench and reports its rows.

#ifndef BERGAMOTHOOK_UTILITIES_BENCH_EXPERIMENT_H
#define BERGAMOTHOOK_UTILITIES_BENCH_EXPERIMENT_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamothook {

/// One measured figure.
struct Row {
  std::string Experiment;
  /// The design or baseline that the figure belongs to.
  std::string Design;
  std::string Metric;
  double Value = 0;
  std::string Unit;
  std::uint64_t Seed = 0;
};

using RowSink = std::function<void(const Row &)>;

struct ExperimentOptions {
  std::uint64_t Seed = 1;
  /// Further words of the command line, such as the file of a replay.
  std::vector<std::string> Arguments;
};

struct Experiment {
  std::string Help;
  std::function<void(const ExperimentOptions &, const RowSink &)> Run;
};

/// All experiments that are linked in, by name.
std::map<std::string, Experiment> &experiments();

/// Adds one experiment before main() starts.
struct ExperimentRegistration {
  ExperimentRegistration(
      const std::string &Name, const std::string &Help,
      std::function<void(const ExperimentOptions &, const RowSink &)> Run);
};

} // namespace bergamothook

#endif
