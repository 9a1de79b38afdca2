#include "Experiment.h"

namespace bergamothook {

std::map<std::string, Experiment> &experiments() {
  static std::map<std::string, Experiment> All;
  return All;
}

ExperimentRegistration::ExperimentRegistration(
    const std::string &Name, const std::string &Help,
    std::function<void(const ExperimentOptions &, const RowSink &)> Run) {
  experiments().emplace(Name, Experiment{Help, std::move(Run)});
}

} // namespace bergamothook
