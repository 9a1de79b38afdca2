/// \file
/// How a command of bergamothook-ctl registers itself, and what it works with.

#ifndef BERGAMOTHOOK_UTILITIES_CTL_COMMAND_H
#define BERGAMOTHOOK_UTILITIES_CTL_COMMAND_H

#include "LibHttp/HttpClient.h"
#include "LibPlatform/LogHooks.h"
#include "LibTask/Runtime.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace bergamothook {

/// The exit codes of every command.
enum class CommandStatus {
  Done = 0,
  /// The command ran and its answer is no: a conflict, a difference.
  Refused = 1,
  /// The command line or a file is wrong.
  Usage = 2,
  /// The log or a host could not be reached, or did not answer in time.
  Unreachable = 3,
};

/// A host's interface for operators.
struct OperatorEndpoint {
  std::string Host;
  std::string Address;
  std::uint16_t Port = 0;
};

/// What every command is given.
struct CommandContext {
  Runtime Tasks;
  HttpClient *Http = nullptr;
  LogHooks Log;
  std::vector<OperatorEndpoint> Hosts;
  /// Who the operator is, for the audit trail.
  std::string Operator;
  /// Proves the operator to the hosts.
  std::string Token;
  std::uint32_t LedgerShards = 1;
  std::ostream &Out;
  std::ostream &Err;
};

struct Command {
  /// The words after the name, for the usage text.
  std::string Synopsis;
  std::string Help;
  std::function<CommandStatus(CommandContext &,
                              const std::vector<std::string> &Words)>
      Run;
};

/// All commands that are linked in, by name.
std::map<std::string, Command> &commands();

/// Adds one command before main() starts.
struct CommandRegistration {
  CommandRegistration(const std::string &Name, Command Added);
};

/// Calls a host's interface for operators. \returns the body of an answer with
/// a status below 300; anything else is printed and gives nothing.
std::optional<nlohmann::json> callHost(CommandContext &Context,
                                       const OperatorEndpoint &Host,
                                       const std::string &Method,
                                       const std::string &Path,
                                       const std::string &Body = "");

} // namespace bergamothook

#endif
