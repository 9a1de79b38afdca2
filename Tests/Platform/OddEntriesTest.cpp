#include "LibNet/TcpConnection.h"
#include "LibWallet/WalletRecord.h"
#include "PlatformFixture.h"
#include "platform/FleetRegistry.h"
#include "platform/ManifestReader.h"
#include "platform/RequestQuarantineSync.h"
#include "platform/StoreFeed.h"
#include "platform/StreamOriginStore.h"
#include "platform/WalletStore.h"
#include "platform/WireNames.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int Cases = 2000;
constexpr std::size_t DeepNesting = 100'000;

/// Checks a property on the same generated cases in each run.
template <typename Property> void checkProperty(Property Holds) {
  setenv("RC_PARAMS", ("seed=1 max_success=" + std::to_string(Cases)).c_str(),
         1);
  CHECK(rc::check(Holds));
}

json validEntry() {
  return {{"service", "s1"}, {"addr", "10.0.0.9:8080"},
          {"zone", "east"},  {"version", "v1"},
          {"slots", 64},     {"state", "ready"},
          {"seq", 4},        {"born", 1700000000123}};
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Text that stands where a value of an entry is expected.
rc::Gen<std::string> oddValue() {
  return rc::gen::oneOf(
      rc::gen::element<std::string>(
          "-1", "1e300", "-1e300", "18446744073709551615", "4294967296", "64.5",
          "null", "true", "[]", "{}", R"("")", R"("10.0.0.9")",
          R"("10.0.0.9:0")", R"("10.0.0.9:65536")", R"("10.0.0.9:99999999999")",
          R"("10.0.0.9:-1")", R"(":80")", R"("a\r\nb: c")", R"("\u0000")",
          nested(10), nested(DeepNesting)),
      rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                   [](std::int64_t Value) { return std::to_string(Value); }),
      rc::gen::map(rc::gen::arbitrary<double>(),
                   [](double Value) { return json(Value).dump(); }),
      rc::gen::map(
          rc::gen::inRange<std::size_t>(0, 100'000),
          [](std::size_t Size) { return '"' + std::string(Size, 'x') + '"'; }));
}

/// \p Text with an odd value in the place of any one of its values, at any
/// depth, or any bytes.
rc::Gen<std::string> oddVersionOf(const std::string &Text) {
  auto WithOddValue = rc::gen::apply(
      [Text](std::size_t Place, const std::string &Value) {
        json Changed = json::parse(Text);
        json Flat = Changed.flatten();
        // A mark that no valid record holds stands for the odd value.
        const std::string Mark = "odd value";
        auto At = std::next(Flat.begin(),
                            static_cast<std::ptrdiff_t>(Place % Flat.size()));
        std::string Path = At.key();
        for (std::size_t Up = Place % 3; Up > 0 && Path.rfind('/') > 0; --Up)
          Path = Path.substr(0, Path.rfind('/'));
        Changed[json::json_pointer(Path)] = Mark;
        std::string Out = Changed.dump();
        return Out.replace(Out.find('"' + Mark + '"'), Mark.size() + 2, Value);
      },
      rc::gen::inRange<std::size_t>(0, 10'000), oddValue());
  return rc::gen::oneOf(WithOddValue, rc::gen::arbitrary<std::string>());
}

rc::Gen<std::string> oddEntry() { return oddVersionOf(validEntry().dump()); }

rc::Gen<std::string> oddKey() {
  return rc::gen::oneOf(
      rc::gen::element<std::string>("i-1", "", "i 1", "i-1\r\nX-Other: 1"),
      rc::gen::arbitrary<std::string>());
}

bool isVisible(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char Each) {
    return Each > ' ' && Each < '\x7f';
  });
}

} // namespace

TEST_CASE("an odd entry: a target that can't be called is listed") {
  checkProperty([] {
    std::string Key = *oddKey();
    auto Read = parseTargetEntry(Key, *oddEntry());
    if (!Read)
      return;
    const ListedTarget &Target = Read.value();
    RC_ASSERT(isVisible(Target.Id));
    RC_ASSERT(static_cast<bool>(parseEndpoint(Target.Address)));
    RC_ASSERT(Target.Slots <= 1'000'000U);
    RC_ASSERT(Target.StartedAt >= 0 && Target.StartedAt < (1LL << 53));
    for (const std::string *Text :
         {&Target.Service, &Target.FailureDomain, &Target.Version})
      RC_ASSERT(!Text->empty() && Text->size() <= 255);
  });
}

TEST_CASE("an odd entry: a deeply nested record ends the process") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    std::string Deep = nested(DeepNesting);
    Fixture.Store.put(std::string(wire::FoundingTopic), "founding",
                      R"({"keys":)" + Deep + R"(,"partitions":1})");
    HostRoster Roster({"host1", "domain", "", 1}, {});
    Runtime Tasks = Fixture.Loop.hooks();
    FleetRegistry Registry(*Fixture.Client, Tasks, Roster);
    TimePoint End = Tasks.Now() + 300ms;
    CHECK_FALSE(Registry.readOrCreateFounding(
        std::string(64, '1'), 1, [&] { return Tasks.Now() >= End; }));
    for (const std::string &Text :
         {Deep, R"({"versions":)" + Deep + "}",
          R"({"address":)" + Deep + R"(,"domain":"d","run":1})"}) {
      CHECK_FALSE(decodeVersionSet(Text));
      CHECK_FALSE(decodeRosterHost({"host", Text, 0}));
      CHECK_FALSE(decodeQuarantineReports({"reports", Text, 0}));
      CHECK_FALSE(parseManifest(Text));
    }
  });
}

TEST_CASE("an odd entry: a list with one is not read") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    const std::string Topic(wire::TargetTopic);
    Fixture.Store.put(Topic, "i-1", validEntry().dump());
    Fixture.Store.put(Topic, "i-2", validEntry().dump());
    Fixture.Store.OddEntries = {
        nullptr,
        5,
        {{"key", 5}, {"value", ""}, {"offset", 0}},
        {{"key", "i-3"}, {"value", "***"}, {"offset", 0}},
        {{"key", "i-4"}, {"value", "AAAA"}, {"offset", -1}},
        {{"key", "i-5"}}};
    // What can't be read may be a share of a budget.
    CHECK_FALSE(makeWalletLog(*Fixture.Client, 0).ReadNewest());
    auto Newest = Fixture.Client->readNewest(Topic, 0);
    CHECK(Newest);
    if (!Newest)
      return;
    CHECK(std::count_if(Newest.value().Records.begin(),
                        Newest.value().Records.end(),
                        [](const KeyedRecord &Record) {
                          return Record.Key == "i-1" || Record.Key == "i-2";
                        }) == 2);
  });
}

TEST_CASE("an odd entry: a record of versions that can't be read is taken for "
          "none") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    Fixture.Store.OddEntries = {
        {{"key", "engines"}, {"value", "***"}, {"offset", 0}}};
    HostRoster Roster({"host1", "domain", "", 1}, {});
    Runtime Tasks = Fixture.Loop.hooks();
    VersionRegister Versions({}, [](const std::string &) { return 0U; });
    Versions.setServices({"engines"});
    OriginExchange Origins({}, Versions, Roster,
                           {Tasks,
                            Tasks.Now,
                            [](HostId, std::uint16_t, std::string_view) {},
                            [](std::uint16_t, PeerNode::Handler) {},
                            {},
                            {}});
    StreamOriginStore Stored(*Fixture.Client, Tasks, Tasks.Now, Versions,
                             Origins);
    CHECK(Stored.readVersions());
    Versions.onListed("engines", "v1", Tasks.Now());
    CHECK(Versions.isMixed("engines"));
    // Nothing is written before other hosts can know of the version.
    CHECK(Versions.proposals(Tasks.Now()).empty());
  });
}

TEST_CASE("an odd entry: a fleet can't be founded beside it") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    const std::string Topic(wire::FoundingTopic);
    Fixture.Store.put(Topic, "another", "1");
    HostRoster Roster({"host1", "domain", "", 1}, {});
    Runtime Tasks = Fixture.Loop.hooks();
    FleetRegistry Registry(*Fixture.Client, Tasks, Roster);
    TimePoint End = Tasks.Now() + 4s;
    auto Join = [&](unsigned Partitions) {
      auto Founding = Registry.readOrCreateFounding(
          std::string(64, '1'), Partitions, [&] { return Tasks.Now() >= End; });
      return Founding ? Founding->Partitions : 0;
    };
    CHECK(Join(4) == 4);
    Fixture.Store.put(Topic, "a third one", "1");
    CHECK(Join(5) == 4);
  });
}

TEST_CASE("odd records of each topic are read or rejected on the stack of a "
          "task") {
  struct Topic {
    const char *Name;
    std::string Valid;
    std::function<bool(const std::string &)> Decode;
    /// No record is JSON; any text is odd.
    bool IsBinary = false;
  };
  QuarantineReport Report;
  Report.Process = "host#1";
  Report.Traits = {hash128("a")};
  std::string Share = encodeWalletShare({});
  const std::vector<Topic> Topics = {
      {"targets", validEntry().dump(),
       [](const std::string &Text) { return !!parseTargetEntry("i", Text); }},
      {"configuration",
       R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/",
       "routeKind":"streaming","timeoutMs":12000,"sloMs":800,"priority":1,
       "split":[{"service":"s","weight":9}],"attempts":2,"resumable":true}],
       "services":[{"name":"s","maxConns":9,"engine":{"slots":6,"stride":7}}],
       "limits":{"maxBodyBytes":1000,"idleTimeoutMs":15000},
       "tenants":[{"name":"t","apiKeys":["k"],"priority":1,"reserved":5}]})",
       [](const std::string &Text) { return !!parseManifest(Text); }},
      {"hosts", encodeRosterHost({"host", "domain", "127.0.0.1:1", 1}),
       [](const std::string &Text) {
         return !!decodeRosterHost({"host", Text, 0});
       }},
      {"founding", encodeFounding(std::string(64, '1'), 8),
       [](const std::string &Text) { return !!decodeFounding(Text); }},
      {"quarantine", encodeQuarantineReports({&Report, 1}),
       [](const std::string &Text) {
         return !!decodeQuarantineReports({"reports", Text, 0});
       }},
      {"versions", encodeVersionSet({{"v1", VersionPhase::InUse}}),
       [](const std::string &Text) { return !!decodeVersionSet(Text); }},
      {"origins", R"([""])",
       [](const std::string &Text) { return !!decodeStreamOrigins(Text); },
       true},
      {"budgets", R"([""])",
       [Share](const std::string &Text) {
         return decodeWalletShare(Share.substr(0, Text.size() % Share.size()) +
                                  Text) &&
                decodeWalletKey(Text);
       },
       true}};
  for (const Topic &Each : Topics) {
    CAPTURE(Each.Name);
    if (!Each.IsBinary)
      CHECK(Each.Decode(Each.Valid));
    std::vector<std::string> Texts;
    checkProperty([&] { Texts.push_back(*oddVersionOf(Each.Valid)); });
    CHECK(Texts.size() >= Cases);
    NetRuntime Loop;
    Loop.hooks().Spawn([&] {
      for (const std::string &Text : Texts)
        (void)Each.Decode(Text);
      Loop.stop();
    });
    Loop.run();
  }
}

TEST_CASE("a reader goes on behind records of any bytes") {
  checkProperty([] {
    std::string Bytes = *rc::gen::arbitrary<std::string>();
    (void)decodeKeyed(Bytes, 0);
    (void)parseRecordPage(Bytes, 0);
  });
  PlatformFixture Fixture;
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    const std::string Topic(wire::TargetTopic);
    std::set<std::string> Keys;
    bool IsStopped = false;
    FeedHooks Hooks;
    Hooks.OnSnapshot = [](const std::vector<KeyedRecord> &, std::uint64_t) {};
    Hooks.OnRecord = [&](const KeyedRecord &Record) {
      Keys.insert(Record.Key);
    };
    Hooks.OnUnavailable = [] {};
    Hooks.OnAvailable = [] {};
    StoreFeed Feed(*Fixture.Client, Tasks, {Topic, 0ms, 5ms}, Hooks);
    bool IsRunning = true;
    Tasks.Spawn([&] {
      Feed.run([&] { return IsStopped; });
      IsRunning = false;
    });
    Tasks.sleepUntil(Tasks.Now() + 50ms);
    for (int I = 0; I < 50; ++I) {
      Fixture.Store.put(Topic, std::string(I % 3, '\xff'),
                        std::string(static_cast<std::size_t>(I), '\x80'));
      Fixture.Store.put(Topic, "i-" + std::to_string(I), validEntry().dump());
    }
    for (int I = 0; I < 200 && Keys.size() < 50; ++I)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    CHECK(Keys.contains("i-49"));
    IsStopped = true;
    while (IsRunning)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
  });
}
