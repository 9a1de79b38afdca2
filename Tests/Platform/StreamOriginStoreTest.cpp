#include "platform/StreamOriginStore.h"

#include "PlatformFixture.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

const std::string Service = "engines";

/// One host without peers, whose list is complete and up to date.
struct VersionHost {
  VersionHost(const std::string &Name, std::size_t Rank,
              PlatformFixture &Fixture)
      : Tasks(Fixture.Loop.hooks()), Roster({Name, "domain", "", 1}, {}),
        Versions({}, [Rank](const std::string &) { return Rank; }),
        Origins({}, this->Versions, this->Roster,
                {this->Tasks,
                 this->Tasks.Now,
                 [](HostId, std::uint16_t, std::string_view) {},
                 [](std::uint16_t, PeerNode::Handler) {},
                 {},
                 {}}),
        Stored(*Fixture.Client, this->Tasks, this->Tasks.Now, this->Versions,
               this->Origins) {
    this->Versions.setServices({Service});
  }

  void start(int &Running, const std::function<bool()> &IsStopped) {
    Running += 2;
    this->Tasks.Spawn([this, &Running, IsStopped] {
      this->Stored.runVersions(IsStopped);
      --Running;
    });
    this->Tasks.Spawn([this, &Running, IsStopped] {
      this->Stored.runOrigins(this->Origins.partitionOf(this->Stream),
                              IsStopped);
      --Running;
    });
  }

  void list(const std::string &Version) {
    this->Versions.onListed(Service, Version, this->Tasks.Now());
    this->Versions.onListRead(this->Tasks.Now());
  }

  std::optional<VersionId> resolve() {
    TimePoint Now = this->Tasks.Now();
    return this->Origins
        .resolve(Service, this->Stream, Now, Now + 2s, [] { return false; })
        .Version;
  }

  Hash128 Stream = streamIdOf("team", Service, "call-1");
  Runtime Tasks;
  HostRoster Roster;
  VersionRegister Versions;
  OriginExchange Origins;
  StreamOriginStore Stored;
};

} // namespace

TEST_CASE(
    "a version is used once it is on record, and a host that starts later "
    "finds where a stream began") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    bool IsStopped = false;
    int Running = 0;
    auto Wait = [&](const std::function<bool()> &Condition) {
      for (int I = 0; I < 300 && !Condition(); ++I)
        Tasks.sleepUntil(Tasks.Now() + 10ms);
      CHECK(Condition());
    };
    VersionHost First("host1", 0, Fixture);
    First.list("v1");
    First.start(Running, [&] { return IsStopped; });
    Wait([&] { return First.Versions.mayBegin(Service, "v1"); });
    First.list("v2");
    CHECK_FALSE(First.Versions.mayBegin(Service, "v2"));
    Wait([&] { return First.Versions.mayBegin(Service, "v2"); });
    First.Origins.onBegun(Service, {First.Stream, versionIdOf("v2")});
    Wait([&] { return !First.Origins.hasForLog(0); });
    Wait([&] { return !First.Origins.hasForLog(1); });
    Tasks.sleepUntil(Tasks.Now() + 100ms);

    // It has not read a list, and knows nothing of its own.
    VersionHost Later("host2", 1, Fixture);
    CHECK(Later.resolve() == versionIdOf("v2"));
    Later.Stream = streamIdOf("other", Service, "call-1");
    CHECK_FALSE(Later.resolve());

    // The store loses what was written, and is told again.
    Fixture.Store.restore(std::string(wire::VersionTopic), 1);
    CHECK(First.Stored.readVersions());
    CHECK(First.Versions.mayBegin(Service, "v2"));
    Wait([&] {
      auto Newest = Fixture.Client->readNewest(wire::VersionTopic, 0);
      return Newest && Newest.value().Records.size() == 1 &&
             decodeVersionSet(*Newest.value().Records[0].Value)
                     .value()
                     .size() == 2;
    });
    IsStopped = true;
    Wait([&] { return Running == 0; });
  });
}

TEST_CASE("a stream may have begun anywhere if the record of versions can't be "
          "read") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    Fixture.Store.put(std::string(wire::VersionTopic), Service, "[[[");
    VersionHost Reading("host1", 0, Fixture);
    Reading.list("v1");
    CHECK(Reading.Stored.readVersions());
    CHECK_FALSE(Reading.Versions.mayBegin(Service, "v1"));
    CHECK_FALSE(Reading.resolve());
    Fixture.Store.Fault = StoreFault::Unavailable;
    CHECK_FALSE(Reading.resolve());
  });
}

TEST_CASE(
    "records of versions and origins are decoded, and odd ones rejected") {
  VersionSet Versions = {{"v1", VersionPhase::Leaving},
                         {"v2", VersionPhase::InUse}};
  CHECK(decodeVersionSet(encodeVersionSet(Versions)).value() == Versions);
  for (const char *Text :
       {"", "[]", "{}", R"({"versions":[]})", R"({"versions":{"v1":5}})",
        R"({"versions":{"v1":"other"}})", "\xff"})
    CHECK_FALSE(decodeVersionSet(Text));
  std::string Bytes = encodeStreamOrigins({{hash128("s"), versionIdOf("v1")}});
  CHECK(decodeStreamOrigins(Bytes).value().at(0).Stream == hash128("s"));
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK_FALSE(decodeStreamOrigins(Bytes.substr(0, Size)));
  CHECK_FALSE(decodeStreamOrigins(Bytes + "x"));
  CHECK_FALSE(decodeStreamOrigins(std::string(64, '\xff')));
}

TEST_CASE("the retained range of a partition is found, also after records were "
          "deleted") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    auto Empty = Fixture.Client->readRange("topic", 0);
    REQUIRE(Empty);
    CHECK(Empty.value().End == 0);
    for (const char *Value : {"1", "2", "3"})
      Fixture.Store.put("topic", "key", Value);
    Fixture.Store.compact("topic");
    Fixture.Store.put("topic", "key", "4");
    auto Range = Fixture.Client->readRange("topic", 0);
    REQUIRE(Range);
    CHECK(Range.value().First == 3);
    CHECK(Range.value().End == 4);
  });
}
