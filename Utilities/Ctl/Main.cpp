/// \file
/// bergamothook-ctl: the operators' tool.

#include "Command.h"
#include "LibAdapter/HttpLog.h"
#include "LibSettings/SettingsFile.h"
#include "LibTask/RealRuntime.h"

#include <cstdio>
#include <getopt.h>
#include <iostream>
#include <optional>

namespace bergamothook {

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 4;

const char *const CtlSchema = R"JSON({
  "definitions": {
    "endpoint": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}}}},
  "type": "object", "additionalProperties": false,
  "required": ["operator", "token_file", "log", "hosts"],
  "properties": {
    "operator": {"type": "string", "minLength": 1, "maxLength": 64},
    "token_file": {"type": "string", "minLength": 1},
    "ledger_shards": {"type": "integer", "minimum": 1, "maximum": 4096},
    "log": {"$ref": "#/definitions/endpoint"},
    "hosts": {"type": "array", "items": {"$ref": "#/definitions/endpoint"}}
  }
})JSON";

struct CommandLine {
  std::string ConfigFile;
  bool IsCheck = false;
  std::string Name;
  std::vector<std::string> Words;
};

void printUsage(std::ostream &Out) {
  Out << "Usage: bergamothook-ctl --config FILE COMMAND [WORD...]\n\n"
         "  --config FILE  where the log and the hosts are, in JSON\n"
         "  --check        check that file and exit\n"
         "  --version      print the version\n"
         "  --help         print this text\n\nCommands:\n";
  for (const auto &[Name, Known] : commands())
    Out << "  " << Name << " " << Known.Synopsis << "\n      " << Known.Help
        << "\n";
  Out << "\nExit status: 0 done, 1 refused, 2 usage, 3 unreachable, "
         "4 settings.\n";
}

/// Reads the command line. \returns nothing when the program is to exit with
/// \p ExitCode.
std::optional<CommandLine> parse(int Count, char **Words, int &ExitCode) {
  static const option Options[] = {{"config", required_argument, nullptr, 'c'},
                                   {"check", no_argument, nullptr, 'k'},
                                   {"version", no_argument, nullptr, 'v'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  CommandLine Read;
  int Letter = 0;
  // The plus sign ends the options at the command's name.
  while ((Letter = getopt_long(Count, Words, "+", Options, nullptr)) != -1) {
    ExitCode = 0;
    switch (Letter) {
    case 'c':
      Read.ConfigFile = optarg;
      break;
    case 'k':
      Read.IsCheck = true;
      break;
    case 'v':
      std::cout << "bergamothook-ctl " BERGAMOTHOOK_VERSION "\n";
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
    Read.Words.emplace_back(Words[optind++]);
  bool IsComplete = !Read.ConfigFile.empty() &&
                    (Read.IsCheck || commands().contains(Read.Name));
  if (IsComplete)
    return Read;
  printUsage(std::cerr);
  ExitCode = ExitUsage;
  return std::nullopt;
}

CommandContext makeContext(const nlohmann::json &Document, std::string Token,
                           const Runtime &Tasks, HttpClient &Http) {
  CommandContext Made{
      .Tasks = Tasks,
      .Http = &Http,
      .Log = makeHttpLog(Http, Tasks,
                         Document["log"]["address"].get<std::string>(),
                         Document["log"]["port"].get<std::uint16_t>()),
      .Hosts = {},
      .Operator = Document["operator"].get<std::string>(),
      .Token = std::move(Token),
      .LedgerShards = Document.value("ledger_shards", 1U),
      .Out = std::cout,
      .Err = std::cerr};
  for (const auto &Host : Document["hosts"])
    Made.Hosts.push_back({Host.value("name", "host"),
                          Host["address"].get<std::string>(),
                          Host["port"].get<std::uint16_t>()});
  return Made;
}

} // namespace

} // namespace bergamothook

int main(int Count, char **Words) {
  using namespace bergamothook;
  int ExitCode = 0;
  auto Line = parse(Count, Words, ExitCode);
  if (!Line)
    return ExitCode;
  auto Document = readSettingsFile(Line->ConfigFile, CtlSchema);
  if (!Document) {
    std::cerr << Document.error().toText() << "\n";
    return ExitSettings;
  }
  auto Token =
      readSecretFile(Document.value()["token_file"].get<std::string>());
  if (!Token) {
    std::cerr << Token.error().toText() << "\n";
    return ExitSettings;
  }
  if (Line->IsCheck) {
    std::cout << Line->ConfigFile << ": the settings are valid\n";
    return 0;
  }
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  HttpClient Http(Tasks);
  CommandContext Context =
      makeContext(Document.value(), Token.value(), Tasks, Http);
  CommandStatus Status = commands()[Line->Name].Run(Context, Line->Words);
  // Tasks of the command may still wait for the log.
  std::cout.flush();
  std::_Exit(static_cast<int>(Status));
}
