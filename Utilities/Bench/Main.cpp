/// \file
/// bergamothook-bench: runs experiments and prints their rows.

#include "Experiment.h"
#include "LibSettings/CommandLine.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr int ExitFailed = 1;

const char *const HelpText =
    "Usage: bergamothook-bench [--json FILE] [--seed N] [NAME [WORD...]]\n"
    "Runs the experiment NAME, or all of them.\n\n"
    "  --json FILE  also write each row as a line of JSON to FILE\n"
    "  --seed N     the seed of the random numbers (default 1)\n"
    "  --list       list the experiments\n"
    "  --version    print the version\n"
    "  --help       print this text\n\n"
    "Exit status: 0 done, 1 an experiment failed, 2 usage.\n";

/// What is to be run.
struct BenchOrder {
  std::string JsonFile;
  ExperimentOptions Options;
  std::string Name = "all";
};

void printExperiments() {
  for (const auto &[Name, Known] : experiments())
    std::cout << Name << "\t" << Known.Help << "\n";
}

BenchOrder orderOf(const CommandLine &Line) {
  BenchOrder Read;
  Read.JsonFile = Line.value("json");
  if (Line.has("seed"))
    Read.Options.Seed = std::strtoull(Line.value("seed").c_str(), nullptr, 10);
  Read.Options.Arguments = Line.Words;
  if (Line.Words.empty())
    return Read;
  Read.Name = Line.Words.front();
  Read.Options.Arguments.erase(Read.Options.Arguments.begin());
  return Read;
}

void printRow(const Row &Measured, std::ofstream &Json) {
  std::printf("%-12s %-28s %-44s %14.4g %s\n", Measured.Experiment.c_str(),
              Measured.Design.c_str(), Measured.Metric.c_str(), Measured.Value,
              Measured.Unit.c_str());
  std::fflush(stdout);
  if (!Json.is_open())
    return;
  Json << nlohmann::json{{"experiment", Measured.Experiment},
                         {"design", Measured.Design},
                         {"metric", Measured.Metric},
                         {"value", Measured.Value},
                         {"unit", Measured.Unit},
                         {"seed", Measured.Seed}}
              .dump()
       << std::endl;
}

int runExperiments(const BenchOrder &Command) {
  std::ofstream Json;
  if (!Command.JsonFile.empty()) {
    Json.open(Command.JsonFile);
    if (!Json) {
      std::cerr << "cannot write " << Command.JsonFile << "\n";
      return ExitUsage;
    }
  }
  bool HasRun = false;
  for (const auto &[Name, Known] : experiments()) {
    // These need words of their own, so that "all" leaves them out.
    bool NeedsWords = Name == "replay" || Name == "overhead";
    if (Command.Name != Name && (Command.Name != "all" || NeedsWords))
      continue;
    HasRun = true;
    Known.Run(Command.Options,
              [&](const Row &Measured) { printRow(Measured, Json); });
  }
  if (HasRun)
    return 0;
  std::cerr << "there is no experiment \"" << Command.Name
            << "\"; known are:\n";
  for (const auto &[Name, Known] : experiments())
    std::cerr << "  " << Name << "\n";
  return ExitUsage;
}

} // namespace

} // namespace bergamothook

int main(int Count, char **Words) {
  using namespace bergamothook;
  int ExitCode = 0;
  CommandLineSpec Rules{"bergamothook-bench",
                        HelpText,
                        {{"json", true}, {"seed", true}, {"list", false}},
                        false};
  auto Line = readCommandLine(Rules, Count, Words, ExitCode);
  if (!Line)
    return ExitCode;
  if (Line->has("list")) {
    printExperiments();
    return 0;
  }
  try {
    return runExperiments(orderOf(*Line));
  } catch (const std::exception &Failure) {
    std::cerr << "experiment failed: " << Failure.what() << "\n";
    return ExitFailed;
  }
}
