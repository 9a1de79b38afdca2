#include "RouterSettings.h"

#include "RouterSchema.h"

#include <set>

namespace bergamothook {

namespace {

using nlohmann::json;

constexpr std::size_t DefaultMaxBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t DefaultMaxRequests = 4096;
constexpr std::size_t DefaultMaxUnsentBytes = 1024 * 1024;

Endpoint readEndpoint(const json &Value) {
  return {Value["address"].get<std::string>(),
          Value["port"].get<std::uint16_t>()};
}

ListenSettings readListen(const json &Value) {
  ListenSettings Read;
  Read.At = readEndpoint(Value);
  Read.MaxBodyBytes = Value.value("max_body_bytes", DefaultMaxBodyBytes);
  Read.MaxRequests = Value.value("max_requests", DefaultMaxRequests);
  Read.MaxUnsentBytes = Value.value("max_unsent_bytes", DefaultMaxUnsentBytes);
  Read.CertificateFile = Value.value("certificate_file", "");
  Read.KeyFile = Value.value("key_file", "");
  return Read;
}

PeerSettings readPeers(const json &Value) {
  PeerSettings Read;
  Read.At = readEndpoint(Value);
  for (const json &Seed : Value["seeds"])
    Read.Seeds.emplace_back(Seed["name"].get<std::string>(),
                            readEndpoint(Seed));
  Read.KeyFile = Value["key_file"].get<std::string>();
  return Read;
}

Duration readMilliseconds(const json &Section, const char *Key,
                          std::int64_t Default) {
  return std::chrono::milliseconds(Section.value(Key, Default));
}

RequestLimits readLimits(const json &Section) {
  RequestLimits Read;
  Read.DrainTimeout = readMilliseconds(Section, "drain_timeout_ms", 600'000);
  Read.NotReadyBeforeDrain =
      readMilliseconds(Section, "not_ready_before_drain_ms", 2'000);
  Read.FirstTokenTimeout =
      readMilliseconds(Section, "first_token_timeout_ms", 30'000);
  Read.BetweenTokensTimeout =
      readMilliseconds(Section, "between_tokens_timeout_ms", 3'000);
  return Read;
}

RouterSettings readDocument(const json &Document) {
  const json Empty = json::object();
  RouterSettings Read;
  Read.HostName = Document["host"]["name"].get<std::string>();
  Read.FailureDomain = Document["host"]["failure_domain"].get<std::string>();
  Read.Region = Document["host"].value("region", "");
  Read.Callers = readListen(Document["callers"]);
  Read.Operators = readListen(Document["operators"]);
  Read.Peers = readPeers(Document["peers"]);
  Read.Log = readEndpoint(Document["platform"]["log"]);
  Read.Membership = readEndpoint(Document["platform"]["membership"]);
  json Ledger = Document.value("ledger", Empty);
  Read.Ledger.Shards = Ledger.value("shards", 1U);
  Read.Ledger.Caution = Ledger.value("caution", 0.5);
  Read.Limits = readLimits(Document.value("limits", Empty));
  json Logs = Document.value("logs", Empty);
  Read.LowestLevel = logLevelOfName(Logs.value("level", "info")).value();
  return Read;
}

SettingsProblem contradiction(const std::string &File, std::string Pointer,
                              std::string Found, std::string Allowed) {
  return {SettingsError::Contradiction, File, std::move(Pointer),
          std::move(Found), std::move(Allowed)};
}

SettingsResult<void> checkPorts(const std::string &File,
                                const RouterSettings &Read) {
  std::set<std::pair<std::string, std::uint16_t>> Used;
  const std::pair<const char *, Endpoint> Listeners[] = {
      {"/callers/port", Read.Callers.At},
      {"/operators/port", Read.Operators.At},
      {"/peers/port", Read.Peers.At}};
  for (const auto &[Pointer, At] : Listeners)
    if (!Used.emplace(At.Address, At.Port).second)
      return contradiction(File, Pointer, std::to_string(At.Port),
                           "a port that nothing else of the process uses");
  return success();
}

SettingsResult<void> checkTls(const std::string &File,
                              const std::string &Pointer,
                              const ListenSettings &Read) {
  if (Read.CertificateFile.empty() == Read.KeyFile.empty())
    return success();
  return contradiction(File, Pointer, "one of certificate_file and key_file",
                       "both or neither");
}

} // namespace

SettingsResult<RouterSettings> readRouterSettings(const std::string &File) {
  BOOST_OUTCOME_TRY(Document, readSettingsFile(File, detail::RouterSchema));
  RouterSettings Read = readDocument(Document);
  BOOST_OUTCOME_TRYV(checkPorts(File, Read));
  BOOST_OUTCOME_TRYV(checkTls(File, "/callers", Read.Callers));
  BOOST_OUTCOME_TRYV(checkTls(File, "/operators", Read.Operators));
  return Read;
}

} // namespace bergamothook
