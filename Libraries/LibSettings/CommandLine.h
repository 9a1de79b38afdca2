/// \file
/// Command line parsing with getopt_long.

#ifndef BERGAMOTHOOK_LIBSETTINGS_COMMANDLINE_H
#define BERGAMOTHOOK_LIBSETTINGS_COMMANDLINE_H

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamothook {

/// The exit status of all programs for a usage error.
constexpr int ExitUsage = 2;

struct CommandOption {
  std::string Name;
  bool TakesValue = false;
};

/// The options that a program accepts, in addition to --help and --version.
struct CommandLineSpec {
  std::string Program;
  std::string HelpText;
  std::vector<CommandOption> Options;
  /// Whether parsing stops at the first operand, so that the options after it
  /// are left to the subcommand that it names.
  bool StopsAtFirstWord = false;
};

struct CommandLine {
  /// The options given, with an empty string for those without a value.
  std::map<std::string, std::string> Options;
  /// The operands: the arguments that are neither options nor their values.
  std::vector<std::string> Words;

  bool has(const std::string &Name) const {
    return this->Options.contains(Name);
  }
  /// \returns the value of an option, or an empty string if it was not given.
  std::string value(const std::string &Name) const;
};

/// Parses the command line. Handles --help and --version, and prints the help
/// to standard error for an unknown option or a missing value. \returns nothing
/// if the program must exit with \p ExitCode.
std::optional<CommandLine> readCommandLine(const CommandLineSpec &Spec,
                                           int Count, char **Words,
                                           int &ExitCode);

} // namespace bergamothook

#endif
