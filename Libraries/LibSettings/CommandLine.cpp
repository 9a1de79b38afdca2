#include "LibSettings/CommandLine.h"

#include <getopt.h>
#include <iostream>

namespace bergamothook {

namespace {

constexpr int FirstOption = 256;
constexpr int HelpOption = 1;
constexpr int VersionOption = 2;

std::vector<option> longOptions(const CommandLineSpec &Rules) {
  std::vector<option> Made;
  for (std::size_t Place = 0; Place < Rules.Options.size(); ++Place) {
    const CommandOption &Known = Rules.Options[Place];
    Made.push_back({Known.Name.c_str(),
                    Known.TakesValue ? required_argument : no_argument, nullptr,
                    FirstOption + static_cast<int>(Place)});
  }
  Made.push_back({"help", no_argument, nullptr, HelpOption});
  Made.push_back({"version", no_argument, nullptr, VersionOption});
  Made.push_back({nullptr, 0, nullptr, 0});
  return Made;
}

} // namespace

std::string CommandLine::value(const std::string &Name) const {
  auto Known = this->Options.find(Name);
  return Known == this->Options.end() ? "" : Known->second;
}

std::optional<CommandLine> readCommandLine(const CommandLineSpec &Rules,
                                           int Count, char **Words,
                                           int &ExitCode) {
  std::vector<option> Options = longOptions(Rules);
  const char *Order = Rules.EndsAtFirstWord ? "+" : "";
  CommandLine Read;
  int Letter = 0;
  // 0 makes the GNU library start afresh, also with another order.
  optind = 0;
  while ((Letter = getopt_long(Count, Words, Order, Options.data(), nullptr)) !=
         -1) {
    ExitCode = 0;
    if (Letter == HelpOption) {
      std::cout << Rules.HelpText;
      return std::nullopt;
    }
    if (Letter == VersionOption) {
      std::cout << Rules.Program << " " BERGAMOTHOOK_VERSION "\n";
      return std::nullopt;
    }
    if (Letter < FirstOption) {
      std::cerr << Rules.HelpText;
      ExitCode = ExitUsage;
      return std::nullopt;
    }
    auto Place = static_cast<std::size_t>(Letter - FirstOption);
    Read.Options[Rules.Options[Place].Name] = optarg ? optarg : "";
  }
  while (optind < Count)
    Read.Words.emplace_back(Words[optind++]);
  return Read;
}

} // namespace bergamothook
