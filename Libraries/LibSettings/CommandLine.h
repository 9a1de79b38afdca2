/// \file
/// The command line of a program, read with getopt_long.

#ifndef BERGAMOTHOOK_LIBSETTINGS_COMMANDLINE_H
#define BERGAMOTHOOK_LIBSETTINGS_COMMANDLINE_H

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamothook {

/// The exit status of every program for a wrong command line.
constexpr int ExitUsage = 2;

struct CommandOption {
  std::string Name;
  bool TakesValue = false;
};

/// What a program takes. --help and --version are always there.
struct CommandLineSpec {
  std::string Program;
  std::string HelpText;
  std::vector<CommandOption> Options;
  /// Options behind the first plain word belong to that word's command.
  bool EndsAtFirstWord = false;
};

struct CommandLine {
  /// The options given; those without a value have an empty text.
  std::map<std::string, std::string> Options;
  std::vector<std::string> Words;

  bool has(const std::string &Name) const {
    return this->Options.contains(Name);
  }
  /// The value of an option, or an empty text.
  std::string value(const std::string &Name) const;
};

/// Reads the command line. Prints the help or the version where asked for, and
/// the help on standard error for an unknown option. \returns nothing when the
/// program is to exit with \p ExitCode.
std::optional<CommandLine> readCommandLine(const CommandLineSpec &Rules,
                                           int Count, char **Words,
                                           int &ExitCode);

} // namespace bergamothook

#endif
