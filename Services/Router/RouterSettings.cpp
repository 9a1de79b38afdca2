#include "RouterSettings.h"

#include "RouterSchema.h"

#include <set>

namespace bergamothook {

namespace {

using nlohmann::json;

constexpr std::size_t DefaultMaxBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t DefaultMaxRequests = 4096;
constexpr std::size_t DefaultMaxUnsentBytes = 1024 * 1024;

Endpoint parseEndpoint(const json &Value) {
  return {Value["address"].get<std::string>(),
          Value["port"].get<std::uint16_t>()};
}

ListenSettings parseListen(const json &Value) {
  ListenSettings Settings;
  Settings.LocalEndpoint = parseEndpoint(Value);
  Settings.MaxBodyBytes = Value.value("max_body_bytes", DefaultMaxBodyBytes);
  Settings.MaxRequests = Value.value("max_requests", DefaultMaxRequests);
  Settings.MaxUnsentBytes =
      Value.value("max_unsent_bytes", DefaultMaxUnsentBytes);
  Settings.CertificateFile = Value.value("certificate_file", "");
  Settings.KeyFile = Value.value("key_file", "");
  return Settings;
}

PeerSettings parsePeers(const json &Value) {
  PeerSettings Settings;
  Settings.LocalEndpoint = parseEndpoint(Value);
  for (const json &Seed : Value["seeds"])
    Settings.Seeds.emplace_back(Seed["name"].get<std::string>(),
                                parseEndpoint(Seed));
  Settings.KeyFile = Value["key_file"].get<std::string>();
  return Settings;
}

Duration parseMilliseconds(const json &Section, const char *Key,
                           std::int64_t Default) {
  return std::chrono::milliseconds(Section.value(Key, Default));
}

RequestLimits parseLimits(const json &Section) {
  RequestLimits Limits;
  Limits.DrainTimeout = parseMilliseconds(Section, "drain_timeout_ms", 600'000);
  Limits.NotReadyBeforeDrain =
      parseMilliseconds(Section, "not_ready_before_drain_ms", 2'000);
  Limits.FirstTokenTimeout =
      parseMilliseconds(Section, "first_token_timeout_ms", 30'000);
  Limits.BetweenTokensTimeout =
      parseMilliseconds(Section, "between_tokens_timeout_ms", 3'000);
  return Limits;
}

RouterSettings parseDocument(const json &Document) {
  const json Empty = json::object();
  RouterSettings Settings;
  Settings.HostName = Document["host"]["name"].get<std::string>();
  Settings.FailureDomain =
      Document["host"]["failure_domain"].get<std::string>();
  Settings.Region = Document["host"].value("region", "");
  Settings.Callers = parseListen(Document["callers"]);
  Settings.Operators = parseListen(Document["operators"]);
  Settings.Peers = parsePeers(Document["peers"]);
  Settings.Log = parseEndpoint(Document["platform"]["log"]);
  Settings.Membership = parseEndpoint(Document["platform"]["membership"]);
  json Ledger = Document.value("ledger", Empty);
  Settings.Ledger.Shards = Ledger.value("shards", 1U);
  Settings.Ledger.Caution = Ledger.value("caution", 0.5);
  Settings.Limits = parseLimits(Document.value("limits", Empty));
  json Logs = Document.value("logs", Empty);
  Settings.MinLogLevel = logLevelOfName(Logs.value("level", "info")).value();
  return Settings;
}

SettingsProblem makeContradiction(const std::string &File, std::string Pointer,
                                  std::string Found, std::string Allowed) {
  return {SettingsError::Contradiction, File, std::move(Pointer),
          std::move(Found), std::move(Allowed)};
}

SettingsResult<void> checkPorts(const std::string &File,
                                const RouterSettings &Settings) {
  std::set<std::pair<std::string, std::uint16_t>> UsedEndpoints;
  const std::pair<const char *, Endpoint> Listeners[] = {
      {"/callers/port", Settings.Callers.LocalEndpoint},
      {"/operators/port", Settings.Operators.LocalEndpoint},
      {"/peers/port", Settings.Peers.LocalEndpoint}};
  for (const auto &[Pointer, Listener] : Listeners)
    if (!UsedEndpoints.emplace(Listener.Address, Listener.Port).second)
      return makeContradiction(File, Pointer, std::to_string(Listener.Port),
                               "a port that nothing else of the process uses");
  return success();
}

SettingsResult<void> checkTls(const std::string &File,
                              const std::string &Pointer,
                              const ListenSettings &Settings) {
  if (Settings.CertificateFile.empty() == Settings.KeyFile.empty())
    return success();
  return makeContradiction(
      File, Pointer, "one of certificate_file and key_file", "both or neither");
}

} // namespace

SettingsResult<RouterSettings> readRouterSettings(const std::string &File) {
  BOOST_OUTCOME_TRY(Document, readSettingsFile(File, detail::RouterSchema));
  RouterSettings Settings = parseDocument(Document);
  BOOST_OUTCOME_TRYV(checkPorts(File, Settings));
  BOOST_OUTCOME_TRYV(checkTls(File, "/callers", Settings.Callers));
  BOOST_OUTCOME_TRYV(checkTls(File, "/operators", Settings.Operators));
  return Settings;
}

} // namespace bergamothook
