#include "platform/ManifestReader.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *Manifest = R"({"version":7,
 "routes":[
  {"name":"r-1","host":"a.example","pathPrefix":"/x/","routeKind":"streaming",
   "timeoutMs":12000,"sloMs":800,"priority":1,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "attempts":2,"public":false,"sticky":true,"resumable":true,
   "itlTargetMs":300},
  {"name":"r-2","host":"a.example","pathPrefix":"/y/",
   "routeKind":"something_new","timeoutMs":800,"sloMs":150,"priority":2,
   "service":"s2","attempts":1,"public":true,"future":{}}],
 "services":[{"name":"s1","healthPath":"/h","maxConns":360,"protocol":"h1",
   "tls":false,"coldS":3,"coldPerS":14.5,
   "engine":{"slots":64,"stride":7}},
  {"name":"s2","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,
   "reserved":5668980},{"name":"t2","apiKeys":["k3"]}]})";

} // namespace

TEST_CASE("the evacuation of a failure domain: its key alone carries the "
          "meaning, whatever the value") {
  auto Evacuated = readEvacuation({"evacuate/east", "{}", 7});
  REQUIRE(Evacuated);
  CHECK(Evacuated->Domain == "east");
  CHECK(Evacuated->IsEvacuated);
  CHECK(Evacuated->Offset == 7);
  CHECK(readEvacuation({"evacuate/east", "\xff not JSON", 8})->IsEvacuated);
  CHECK_FALSE(readEvacuation({"evacuate/east", {}, 9})->IsEvacuated);
  CHECK(readEvacuation({"evacuate/a/b", "{}", 9})->Domain == "a/b");
  CHECK_FALSE(readEvacuation({"config", "{}", 10}));
  CHECK_FALSE(readEvacuation({"evacuate/", "{}", 11}));
  CHECK_FALSE(readEvacuation({"evacuated/east", "{}", 12}));
}

TEST_CASE("a manifest is parsed into a relay configuration") {
  auto Read = parseManifest(Manifest);
  REQUIRE(Read);
  const RelayConfig &Config = *Read.value();
  CHECK(Config.Version == 7);
  CHECK(Config.Limits.MaxBodyBytes == 1000);
  CHECK(Config.Limits.IdleTimeout == 15s);
  const RelayRoute *Route = Config.findRoute("a.example", "/x/y");
  REQUIRE(Route);
  CHECK(Route->Kind == CallKind::Stream);
  CHECK(Route->Timeout == 12s);
  CHECK(Route->Objective == 800ms);
  CHECK(Route->MaxPause == 300ms);
  CHECK(Route->MaxTargets == 2);
  CHECK(Route->IsResumable);
  CHECK(Route->Services.size() == 2);
  const RelayRoute *Other = Config.findRoute("a.example", "/y/");
  REQUIRE(Other);
  // An unknown kind is not retried.
  CHECK(Other->Kind == CallKind::NonIdempotent);
  CHECK(Other->IsPublic);
  REQUIRE(Config.findTeamByKey("k2"));
  CHECK(Config.findTeamByKey("k2")->Name == "t1");
  CHECK(Config.findTeamByKey("k2")->Budget == 5668980);
  CHECK_FALSE(Config.findTeamByKey("k3")->Budget);
  CHECK_FALSE(Config.findTeamByKey("k4"));
  CHECK(Config.findService("s1")->TokensPerEvent == 7);
  CHECK(Config.findService("s2")->EngineSlots == 0);
  CHECK(Config.findService("s1")->ColdPerSecond == 14.5);
  CHECK(Config.findService("s1")->ColdTime == 3s);
  CHECK(Config.findService("s1")->HealthPath == "/h");
  CHECK(Config.findService("s2")->HealthPath.empty());
  CHECK(Config.coldRates() == std::map<std::string, double>{{"s1", 14.5}});
}

TEST_CASE("a version of the configuration may use all of 64 bits") {
  for (std::uint64_t Version : {std::uint64_t{1} << 53, std::uint64_t{0} - 1}) {
    std::string Text = Manifest;
    Text.replace(Text.find("\"version\":7"), 11,
                 "\"version\":" + std::to_string(Version));
    auto Read = parseManifest(Text);
    REQUIRE(Read);
    CHECK(Read.value()->Version == Version);
  }
}

TEST_CASE("an invalid manifest is rejected") {
  CHECK_FALSE(parseManifest(""));
  CHECK_FALSE(parseManifest("[]"));
  CHECK_FALSE(parseManifest("{\"version\":\"x\"}"));
  CHECK_FALSE(parseManifest(R"({"version":1,"version":2})"));
}

TEST_CASE("a route that can't be read is not in force, and nothing is denied "
          "for want of it") {
  auto Read =
      parseManifest(R"({"version":1,"routes":[{"name":1}],"services":[]})");
  REQUIRE(Read);
  CHECK(Read.value()->routes() == 0);
  CHECK_FALSE(Read.value()->HasAllRoutes);
  CHECK(Read.value()->Problems.count() == 3);
}

TEST_CASE("weights of a route's services may be fractions") {
  std::string Text = Manifest;
  Text.replace(Text.find("\"weight\":90"), 11, "\"weight\":0.9");
  Text.replace(Text.find("\"weight\":10"), 11, "\"weight\":0.1");
  auto Read = parseManifest(Text);
  REQUIRE(Read);
  const RelayRoute *Route = Read.value()->findRoute("a.example", "/x/y");
  REQUIRE(Route);
  CHECK(Route->IsReadable);
  CHECK(Route->Services[0].Weight == 900);
  CHECK(Route->Services[1].Weight == 100);
}

TEST_CASE("valid target entries are parsed and invalid ones rejected") {
  auto Read = parseTargetEntry(
      "i-1", R"({"service":"s1","addr":"10.0.0.9:8080","zone":"east",
      "version":"v1","slots":64,"state":"draining","coldLeftMs":0,"seq":4,
      "born":1700000000123})");
  REQUIRE(Read);
  CHECK(Read.value().Id == "i-1");
  CHECK(Read.value().IsLeaving);
  CHECK(Read.value().Version == "v1");
  CHECK(Read.value().StartedAt == 1700000000123);
  for (const char *Text :
       {"", "\xff\xfe", "[]", R"({"service":"s1"})",
        R"({"service":"s1","addr":5,"zone":"e","version":"v1","slots":1,
           "state":"ready"})",
        R"({"service":"s1","addr":"a:1","zone":"e","version":"v1","slots":1,
           "state":"odd"})",
        R"({"service":"s1","addr":"a:1","zone":"e","version":"v1","slots":"1",
           "state":"ready"})",
        R"({"service":"s1","addr":"a:1","zone":"e","slots":1,
           "state":"ready"})",
        R"({"service":"s1","addr":"a:1","zone":"e","version":1,"slots":1,
           "state":"ready"})"})
    CHECK_FALSE(parseTargetEntry("i-1", Text));
}

TEST_CASE("how long a target stays cold is read from its entry; a field that "
          "is no number or out of range does not remove the target") {
  auto ColdOf = [](const std::string &Fields) {
    auto Read = parseTargetEntry(
        "i-1", R"({"service":"s1","addr":"10.0.0.9:8080","zone":"east",
        "version":"v1","slots":64,"state":"ready","born":7)" +
                   Fields + "}");
    REQUIRE(Read);
    return Read.value().coldReport();
  };
  CHECK(ColdOf("").Left == 0s);
  ColdReport Cold = ColdOf(R"(,"coldLeftMs":2350.5,"seq":4)");
  CHECK(Cold.Left == 2350500us);
  CHECK(Cold.Sequence == 4);
  CHECK(Cold.RunKey == "i-1#7");
  CHECK(ColdOf(R"(,"coldLeftMs":-5)").Left == 0s);
  CHECK(ColdOf(R"(,"coldLeftMs":"soon","seq":"x")").Left == 0s);
  CHECK(ColdOf(R"(,"coldLeftMs":null,"seq":-1)").Sequence == 0);
  CHECK(ColdOf(R"(,"coldLeftMs":1e300)").Left == 24h);
}

TEST_CASE("a service whose fields for cold targets can't be read has none") {
  for (const char *Value : {"\"14\"", "null", "-3", "0", "{}"}) {
    std::string Text = Manifest;
    Text.replace(Text.find("\"coldPerS\":14.5"), 15,
                 "\"coldPerS\":" + std::string(Value));
    auto Read = parseManifest(Text);
    REQUIRE(Read);
    CHECK(Read.value()->coldRates().empty());
  }
}
