/// \file
/// bergamothook-bench: runs experiments and prints their rows.

#include "Experiment.h"

#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

namespace bergamothook {

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

struct CommandLine {
  std::string JsonFile;
  ExperimentOptions Options;
  std::string Name = "all";
};

void printUsage(std::ostream &Out) {
  Out << "Usage: bergamothook-bench [--json FILE] [--seed N] [NAME [WORD...]]\n"
         "Runs the experiment NAME, or all of them.\n\n"
         "  --json FILE  also write each row as a line of JSON to FILE\n"
         "  --seed N     the seed of the random numbers (default 1)\n"
         "  --list       list the experiments\n"
         "  --version    print the version\n"
         "  --help       print this text\n\n"
         "Exit status: 0 done, 1 an experiment failed, 2 usage.\n";
}

void printExperiments() {
  for (const auto &[Name, Known] : experiments())
    std::cout << Name << "\t" << Known.Help << "\n";
}

/// Reads the command line. \returns nothing when the program is to exit with
/// \p ExitCode.
std::optional<CommandLine> parse(int Count, char **Words, int &ExitCode) {
  static const option Options[] = {{"json", required_argument, nullptr, 'j'},
                                   {"seed", required_argument, nullptr, 's'},
                                   {"list", no_argument, nullptr, 'l'},
                                   {"version", no_argument, nullptr, 'v'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  CommandLine Read;
  int Letter = 0;
  while ((Letter = getopt_long(Count, Words, "", Options, nullptr)) != -1) {
    ExitCode = 0;
    switch (Letter) {
    case 'j':
      Read.JsonFile = optarg;
      break;
    case 's':
      Read.Options.Seed = std::strtoull(optarg, nullptr, 10);
      break;
    case 'l':
      printExperiments();
      return std::nullopt;
    case 'v':
      std::cout << "bergamothook-bench " BERGAMOTHOOK_VERSION "\n";
      return std::nullopt;
    case 'h':
      printUsage(std::cout);
      return std::nullopt;
    default:
      printUsage(std::cerr);
      ExitCode = ExitUsage;
      return std::nullopt;
    }
  }
  if (optind < Count)
    Read.Name = Words[optind++];
  while (optind < Count)
    Read.Options.Arguments.emplace_back(Words[optind++]);
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

int runExperiments(const CommandLine &Command) {
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
  auto Command = parse(Count, Words, ExitCode);
  if (!Command)
    return ExitCode;
  try {
    return runExperiments(*Command);
  } catch (const std::exception &Failure) {
    std::cerr << "experiment failed: " << Failure.what() << "\n";
    return ExitFailed;
  }
}
