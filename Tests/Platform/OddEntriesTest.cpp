#include "LibNet/TcpConnection.h"
#include "PlatformFixture.h"
#include "platform/FleetRegistry.h"
#include "platform/ManifestReader.h"
#include "platform/RequestQuarantineSync.h"
#include "platform/StoreFeed.h"
#include "platform/StreamOriginStore.h"
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

/// An entry with one odd field, or any bytes.
rc::Gen<std::string> oddEntry() {
  std::vector<std::string> Fields;
  const json Entry = validEntry();
  for (const auto &[Name, Value] : Entry.items())
    Fields.push_back(Name);
  auto WithOddField = rc::gen::apply(
      [](const std::string &Field, const std::string &Value) {
        std::string Text = "{\"" + Field + "\":" + Value;
        const json Entry = validEntry();
        for (const auto &[Name, Valid] : Entry.items())
          if (Name != Field)
            Text += ",\"" + Name + "\":" + Valid.dump();
        return Text + "}";
      },
      rc::gen::elementOf(Fields), oddValue());
  return rc::gen::oneOf(WithOddField, rc::gen::arbitrary<std::string>());
}

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

TEST_CASE("records of any bytes are read or rejected, and a reader goes on") {
  checkProperty([] {
    std::string Bytes = *rc::gen::arbitrary<std::string>();
    (void)decodeKeyed(Bytes, 0);
    (void)decodeVersionSet(Bytes);
    (void)decodeStreamOrigins(Bytes);
    (void)decodeRosterHost({"host", Bytes, 0});
    (void)decodeQuarantineReports({"reports", Bytes, 0});
    (void)parseManifest(Bytes);
    (void)parseRecordPage(Bytes, 0);
  });
  PlatformFixture Fixture;
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    const std::string Topic(wire::TargetTopic);
    std::set<std::string> Keys;
    bool IsStopped = false;
    FeedHooks Hooks;
    Hooks.OnSnapshot = [](const std::vector<KeyedRecord> &) {};
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
