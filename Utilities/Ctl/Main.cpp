/// \file
/// bergamothook-ctl: the operators' tool.

#include "Command.h"
#include "LibAdapter/HttpLog.h"
#include "LibSettings/CommandLine.h"
#include "LibSettings/SettingsFile.h"
#include "LibTask/RealRuntime.h"

#include <iostream>

namespace bergamothook {

namespace {

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

std::string helpText() {
  std::string Text =
      "Usage: bergamothook-ctl --config FILE COMMAND [WORD...]\n\n"
      "  --config FILE  where the log and the hosts are, in JSON\n"
      "  --check        check that file and exit\n"
      "  --version      print the version\n"
      "  --help         print this text\n\nCommands:\n";
  for (const auto &[Name, Known] : commands())
    Text += "  " + Name + " " + Known.Synopsis + "\n      " + Known.Help + "\n";
  Text += "\nExit status: 0 done, 1 refused, 2 usage, 3 unreachable, "
          "4 settings.\n";
  return Text;
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
  CommandLineSpec Rules{"bergamothook-ctl",
                        helpText(),
                        {{"config", true}, {"check", false}},
                        true};
  auto Line = readCommandLine(Rules, Count, Words, ExitCode);
  if (!Line)
    return ExitCode;
  bool IsCheck = Line->has("check");
  std::string Name = Line->Words.empty() ? "" : Line->Words.front();
  if (!Line->has("config") || (!IsCheck && !commands().contains(Name))) {
    std::cerr << Rules.HelpText;
    return ExitUsage;
  }
  std::string File = Line->value("config");
  auto Document = readSettingsFile(File, CtlSchema);
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
  if (IsCheck) {
    std::cout << File << ": the settings are valid\n";
    return 0;
  }
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  HttpClient Http(Tasks);
  CommandContext Context =
      makeContext(Document.value(), Token.value(), Tasks, Http);
  Line->Words.erase(Line->Words.begin());
  CommandStatus Status = commands()[Name].Run(Context, Line->Words);
  // Tasks of the command may still wait for the log.
  std::cout.flush();
  std::_Exit(static_cast<int>(Status));
}
