#include "LibSettings/CommandLine.h"

#include <getopt.h>
#include <iostream>

namespace bergamothook {

namespace {

constexpr int FirstOptionId = 256;
constexpr int HelpOptionId = 1;
constexpr int VersionOptionId = 2;

std::vector<option> longOptions(const CommandLineSpec &Spec) {
  std::vector<option> LongOptions;
  for (std::size_t Index = 0; Index < Spec.Options.size(); ++Index) {
    const CommandOption &Known = Spec.Options[Index];
    LongOptions.push_back({Known.Name.c_str(),
                           Known.TakesValue ? required_argument : no_argument,
                           nullptr, FirstOptionId + static_cast<int>(Index)});
  }
  LongOptions.push_back({"help", no_argument, nullptr, HelpOptionId});
  LongOptions.push_back({"version", no_argument, nullptr, VersionOptionId});
  LongOptions.push_back({nullptr, 0, nullptr, 0});
  return LongOptions;
}

} // namespace

std::string CommandLine::value(const std::string &Name) const {
  auto Known = this->Options.find(Name);
  return Known == this->Options.end() ? "" : Known->second;
}

std::optional<CommandLine> readCommandLine(const CommandLineSpec &Spec,
                                           int Count, char **Words,
                                           int &ExitCode) {
  std::vector<option> Options = longOptions(Spec);
  const char *ShortOptions = Spec.StopsAtFirstWord ? "+" : "";
  CommandLine Parsed;
  int OptionId = 0;
  // 0 makes the GNU getopt reinitialize, which also rereads the flags in
  // ShortOptions.
  optind = 0;
  while ((OptionId = getopt_long(Count, Words, ShortOptions, Options.data(),
                                 nullptr)) != -1) {
    ExitCode = 0;
    if (OptionId == HelpOptionId) {
      std::cout << Spec.HelpText;
      return std::nullopt;
    }
    if (OptionId == VersionOptionId) {
      std::cout << Spec.Program << " " BERGAMOTHOOK_VERSION "\n";
      return std::nullopt;
    }
    if (OptionId < FirstOptionId) {
      std::cerr << Spec.HelpText;
      ExitCode = ExitUsage;
      return std::nullopt;
    }
    auto Index = static_cast<std::size_t>(OptionId - FirstOptionId);
    Parsed.Options[Spec.Options[Index].Name] = optarg ? optarg : "";
  }
  while (optind < Count)
    Parsed.Words.emplace_back(Words[optind++]);
  return Parsed;
}

} // namespace bergamothook
