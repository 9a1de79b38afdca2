/// \file
/// A configuration entry of the platform's store, and requests under it.

#ifndef BERGAMOTHOOK_TESTS_PLATFORM_CONFIGENTRY_H
#define BERGAMOTHOOK_TESTS_PLATFORM_CONFIGENTRY_H

#include "platform/HeaderCodec.h"
#include "platform/ManifestReader.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace bergamothook {

constexpr TimePoint RequestTime{std::chrono::hours(1)};

/// \returns a valid configuration: a route that needs a key, a public one, and
/// a team with the key "key" and a budget.
inline nlohmann::json makeConfigEntry() {
  return {{"version", 1},
          {"routes",
           {{{"name", "chat"},
             {"host", "a.example"},
             {"pathPrefix", "/chat/"},
             {"routeKind", "streaming"},
             {"timeoutMs", 1000},
             {"sloMs", 100},
             {"priority", 2},
             {"service", "engines"},
             {"attempts", 2},
             {"public", false},
             {"sticky", true},
             {"resumable", true},
             {"itlTargetMs", 300}},
            {{"name", "status"},
             {"host", "a.example"},
             {"pathPrefix", "/public/"},
             {"routeKind", "idempotent"},
             {"timeoutMs", 1000},
             {"sloMs", 100},
             {"service", "engines"},
             {"public", true}}}},
          {"services",
           {{{"name", "engines"},
             {"healthPath", "/healthz"},
             {"maxConns", 90},
             {"engine", {{"slots", 64}, {"stride", 7}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1000},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants",
           {{{"name", "parks"},
             {"apiKeys", {"key"}},
             {"priority", 1},
             {"reserved", 5000}}}}};
}

/// \returns a request that states its tokens. Without \p Credentials it has no
/// Authorization field.
inline HttpRequestMessage
makeRequest(const std::optional<std::string> &Credentials,
            const std::string &Path = "/chat/") {
  HttpRequestMessage Message;
  Message.Head.Method = "POST";
  Message.Head.Target = Path;
  HeaderList &Headers = Message.Head.Headers;
  Headers.add("Host", "a.example");
  Headers.add("X-Bergamothook-Attempt-Id", "id-1");
  Headers.add("X-Bergamothook-Token-Counts", "100,10");
  if (Credentials)
    Headers.add("Authorization", *Credentials);
  return Message;
}

/// \returns the status of the refusal of a request; 0 if it is accepted.
inline unsigned refusalOf(const nlohmann::json &Entry,
                          const std::optional<std::string> &Credentials,
                          const std::string &Path = "/chat/") {
  auto Config = platform::parseManifest(Entry.dump());
  if (!Config)
    return 503; // As a host that starts with this entry.
  return platform::decodeCall(Config.value(), makeRequest(Credentials, Path),
                              RequestTime)
      .RefusalStatus;
}

} // namespace bergamothook

#endif
