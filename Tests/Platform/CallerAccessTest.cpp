#include "ConfigEntry.h"
#include "LibObserve/StructuredLog.h"
#include "LibRelayFront/ForwardedCallReader.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using nlohmann::json;

// Guards against calls with any key being accepted after the operator removes
// the last team.
TEST_CASE("a configuration without teams is not one without keys") {
  json Entry = makeConfigEntry();
  CHECK(refusalOf(Entry, "Bearer key") == 0);
  for (const json &Teams : {json::array(), json::object(), json(nullptr)}) {
    CAPTURE(Teams.dump());
    Entry["tenants"] = Teams;
    CHECK(refusalOf(Entry, "Bearer key") != 0);
    CHECK(refusalOf(Entry, "Bearer never-held") != 0);
    CHECK(refusalOf(Entry, "Bearer ") != 0);
    CHECK(refusalOf(Entry, std::nullopt) != 0);
    CHECK(refusalOf(Entry, std::nullopt, "/public/") == 0);
  }
  Entry["tenants"] = json::array();
  CHECK(refusalOf(Entry, "Bearer key") == 401);
  Entry.erase("tenants");
  CHECK(refusalOf(Entry, std::nullopt) == 0);
  CHECK(refusalOf(Entry, "Bearer never-held") == 0);
}

// Guards against an empty text in the list of keys letting requests without a
// key in.
TEST_CASE("a request without a key does not match an empty key") {
  json Entry = makeConfigEntry();
  Entry["tenants"][0]["apiKeys"] = {"", "key"};
  CHECK(refusalOf(Entry, "Bearer key") == 0);
  for (const std::optional<std::string> &Credentials :
       {std::optional<std::string>(), std::optional<std::string>(""),
        std::optional<std::string>("Bearer"),
        std::optional<std::string>("Bearer "),
        std::optional<std::string>("Bearer   "),
        std::optional<std::string>("Basic a2V5"),
        std::optional<std::string>("key")}) {
    CAPTURE(Credentials.value_or("none"));
    CHECK(refusalOf(Entry, Credentials) == 401);
  }
}

// Guards against a key that is removed at one host and in force at the host
// that gets its calls.
TEST_CASE(
    "a call of another host is subject to the keys of the newer version") {
  startLogging("test", "test", LogLevel::Error);
  const KeyRing Keys = KeyRing::parse(R"({"signWith": 1, "keys": {"1": ")" +
                                      std::string(64, 'a') + "\"}}")
                           .value();
  const Incarnation SenderRun{idOfName<HostId>("a"), 7};
  const Incarnation ReceiverRun{idOfName<HostId>("b"), 9};
  ForwardSeal Sender(SenderRun, [&Keys] { return &Keys; });
  ForwardSeal Receiver(ReceiverRun, [&Keys] { return &Keys; });
  json Entry = makeConfigEntry();
  ForwardedCallHooks Hooks;
  Hooks.Decode = [&Entry](HttpRequestMessage Message, TimePoint Now) {
    return platform::decodeCall(platform::parseManifest(Entry.dump()).value(),
                                std::move(Message), Now);
  };
  Hooks.ConfigVersion = [&Entry] { return Entry["version"]; };
  Hooks.NameOf = [](HostId) { return std::string("a"); };
  ForwardedCallReader Reader(Receiver, Hooks);
  auto RefusalOf = [&](std::uint64_t SenderVersion) {
    HttpRequestMessage Message = makeRequest("Bearer key");
    Sender.sealRequest(Message.Head, Message.Body, ReceiverRun, {},
                       SenderVersion);
    return Reader.read(std::move(Message), RequestTime).RefusalStatus;
  };
  CHECK(RefusalOf(1) == 0);
  // The receiver has not read the version that may have removed the key.
  CHECK(RefusalOf(2) == 503);
  Entry["version"] = 2;
  Entry["tenants"] = json::array();
  CHECK(RefusalOf(1) == 401);
  CHECK(RefusalOf(2) == 401);
}
