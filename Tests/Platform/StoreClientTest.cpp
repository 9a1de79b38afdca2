#include "../LibHttp/RawServer.h"
#include "LibObserve/StructuredLog.h"
#include "PlatformFixture.h"
#include "platform/StoreFeed.h"
#include "platform/WalletStore.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

TEST_CASE("an append succeeds only at the expected offset") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    StoreClient &Client = *Fixture.Client;
    CHECK(Client.append("work", 0, {"a", "b"}, 0).value().End == 2);
    CHECK(Client.append("work", 0, {"c"}, 0).error() ==
          StoreError::OffsetMismatch);
    CHECK(Client.append("work", 0, {"c"}, std::nullopt).value().End == 3);
    auto Page = Client.read("work", 0, 1, {});
    REQUIRE(Page);
    CHECK(Page.value().Records == std::vector<std::string>{"b", "c"});
    CHECK(Page.value().End == 3);
  });
}

TEST_CASE("what a host exchanges with the store counts as its own traffic") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    const NetTraffic &Own = *Fixture.Loop.traffic(TrafficClass::Own);
    const NetTraffic &Service = *Fixture.Loop.traffic(TrafficClass::Service);
    const std::string Content(20'000, 'x');
    REQUIRE(Fixture.Client->append("work", 0, {Content}, std::nullopt));
    REQUIRE(Fixture.Client->read("work", 0, 0, {}));
    CHECK(Own.BytesSent > Content.size());
    CHECK(Own.BytesReceived > Content.size());
    // The other end runs in this process and counts as what callers need.
    CHECK(Service.BytesReceived == Own.BytesSent);
  });
}

TEST_CASE("errors state whether the store executed the call") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    StoreClient &Client = *Fixture.Client;
    auto ErrorWith = [&](StoreFault Fault) {
      Fixture.Store.Fault = Fault;
      return Client.append("work", 0, {"a"}, std::nullopt).error();
    };
    CHECK(ErrorWith(StoreFault::Unavailable) == StoreError::NotExecuted);
    CHECK(ErrorWith(StoreFault::RateLimited) == StoreError::RateLimited);
    CHECK(ErrorWith(StoreFault::CloseUnprocessed) == StoreError::NoResponse);
    CHECK(ErrorWith(StoreFault::DropResponse) == StoreError::NoResponse);
    Fixture.Store.Fault = StoreFault::None;
    // Only the last call was executed.
    CHECK(Client.read("work", 0, 0, {}).value().End == 1);
    Fixture.Store.compact("work");
    CHECK(Client.read("work", 0, 0, {}).error() == StoreError::Trimmed);
  });
}

TEST_CASE("wallet records are written to the store and read back") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    WalletLog Log = makeWalletLog(*Fixture.Client, 0);
    WalletRecord Record{{"team", "host#1"}, {100, 40, 3, 7}, 0};
    CHECK(Log.AppendAt(0, {Record}) == WalletAppend::Done);
    CHECK(Log.AppendAt(0, {Record}) == WalletAppend::Moved);
    auto Newest = Log.ReadNewest();
    REQUIRE(Newest);
    CHECK(Newest.value().End == 1);
    REQUIRE(Newest.value().Records.size() == 1);
    CHECK(Newest.value().Records.front().Key == Record.Key);
    CHECK(Newest.value().Records.front().Share == Record.Share);
    Fixture.Store.compact(std::string(wire::WalletTopic));
    CHECK(Log.Read(0).error() == std::errc::result_out_of_range);
    CHECK(Log.ReadNewest().value().Records.size() == 1);
    Fixture.Store.Fault = StoreFault::Unavailable;
    CHECK(Log.AppendAt(1, {Record}) == WalletAppend::Refused);
    Fixture.Store.Fault = StoreFault::DropResponse;
    CHECK(Log.AppendAt(1, {Record}) == WalletAppend::Unanswered);
  });
}

TEST_CASE(
    "of a team with an unreadable share no tokens are taken, and those of "
    "others are") {
  PlatformFixture Fixture;
  const std::string Topic(wire::WalletTopic);
  Fixture.Store.put(Topic, "team\nhost#1", "\x09later");
  Fixture.run([&] {
    WalletLog Log = makeWalletLog(*Fixture.Client, 0);
    TimePoint Now{1h};
    Wallet Reading("host#2", {});
    for (const char *Team : {"team", "other"})
      Reading.setBudget(Team, 1000);
    auto Read = [&] {
      auto Page = Reading.isReady() ? Log.Read(Reading.shareTable().end())
                                    : Log.ReadNewest();
      REQUIRE(Page);
      Reading.onRead(Page.value().Records, Page.value().End, Now);
    };
    auto MayReserve = [&](const std::string &Team) {
      if (Reading.reserve(Team, 10, Now))
        return true;
      auto Records = Reading.planRound(Now += 1s);
      CHECK(Log.AppendAt(Reading.shareTable().end(), Records) ==
            WalletAppend::Done);
      Reading.onAppended(Reading.shareTable().end() + Records.size(), Now);
      return Reading.reserve(Team, 10, Now).has_value();
    };
    Read();
    Now += 10s;
    CHECK_FALSE(MayReserve("team"));
    CHECK(MayReserve("other"));
    // The process writes its share again, and another writer odd records.
    Fixture.Store.put(Topic, "team\nhost#1", encodeWalletShare({100, 0, 0, 0}));
    Fixture.Store.put(Topic, "no share", "1");
    Fixture.Store.put(Topic, "", "1");
    Read();
    CHECK(MayReserve("team"));
    // What this process holds itself does not depend on an odd record.
    Fixture.Store.put(Topic, "other\nhost#2", "odd");
    Read();
    CHECK(Reading.view("other").Held <= 1000);
    CHECK(MayReserve("other"));
  });
}

TEST_CASE("a feed reads a snapshot, then updates, and recovers from a gap") {
  PlatformFixture Fixture;
  Fixture.Store.put("keyed.x", "a", "1");
  Fixture.Store.put("keyed.x", "a", "2");
  std::vector<std::string> Seen;
  int Snapshots = 0;
  Fixture.run([&] {
    FeedHooks Hooks;
    Hooks.OnSnapshot = [&](const std::vector<KeyedRecord> &Records,
                           std::uint64_t) {
      ++Snapshots;
      for (const KeyedRecord &Record : Records)
        Seen.push_back(Record.Key + "=" + Record.Value.value_or("-"));
    };
    Hooks.OnRecord = [&](const KeyedRecord &Record) {
      Seen.push_back(Record.Key + "=" + Record.Value.value_or("-"));
    };
    Hooks.OnUnavailable = [] {};
    Hooks.OnAvailable = [] {};
    int Rounds = 0;
    StoreFeed Feed(*Fixture.Client, Fixture.Loop.hooks(),
                   {.Topic = "keyed.x", .Pause = 1ms, .RetryPause = 1ms},
                   Hooks);
    // Called before each read.
    Feed.run([&] {
      ++Rounds;
      if (Rounds == 2) {
        Fixture.Store.put("keyed.x", "b", "3");
        Fixture.Store.put("keyed.x", "a", "");
      }
      if (Rounds == 3) {
        Fixture.Store.put("keyed.x", "c", "4");
        Fixture.Store.compact("keyed.x");
      }
      return Rounds > 4;
    });
  });
  CHECK(Snapshots == 2);
  CHECK(Seen == std::vector<std::string>{"a=2", "b=3", "a=-", "b=3", "c=4"});
}

TEST_CASE(
    "a feed reads a new snapshot after a restore, even if the log has grown "
    "past its offset") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    Runtime Tasks = Fixture.Loop.hooks();
    std::string Topic(wire::HostTopic);
    Fixture.Store.put(Topic, "kept", "1");
    Fixture.Store.put(Topic, "lost", "1");
    std::vector<std::string> Seen;
    FeedHooks Hooks;
    Hooks.OnRestored = [&] { Seen.emplace_back("restored"); };
    Hooks.OnSnapshot = [&](const std::vector<KeyedRecord> &Records,
                           std::uint64_t) {
      for (const KeyedRecord &Record : Records)
        Seen.push_back("snapshot " + Record.Key);
    };
    Hooks.OnRecord = [&](const KeyedRecord &Record) {
      Seen.push_back(Record.Key);
    };
    Hooks.OnUnavailable = [] {};
    Hooks.OnAvailable = [] {};
    int Rounds = 0;
    StoreFeed Feed(*Fixture.Client, Tasks, {Topic, 1ms, 1ms}, Hooks);
    Feed.run([&] {
      if (++Rounds == 2) {
        Fixture.Store.restore(Topic, 1);
        for (const char *Key : {"new-1", "new-2", "new-3"})
          Fixture.Store.put(Topic, Key, "1");
      }
      return Rounds > 4;
    });
    CHECK(Seen == std::vector<std::string>{"snapshot kept", "snapshot lost",
                                           "restored", "snapshot kept",
                                           "snapshot new-1", "snapshot new-2",
                                           "snapshot new-3"});
  });
}

TEST_CASE("a broken answer does not tell whether the store executed a call") {
  const std::string Body = "{\"endOffset\": 1}";
  const std::string Length =
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  const RawResponse Broken[] = {
      {"HTTP/1.1 000 Text\r\n" + Length},
      {"HTTP/1.1 999 Text\r\n" + Length},
      {"HTTP/1.1 101 Text\r\n\r\nHTTP/1.1 200 Text\r\n" + Length},
      {"HTTP/1.1 200 Text\r\nNa me: 1\r\n" + Length},
      {"HTTP/1.1 200 Text\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" +
       formatChunk(Body) + std::string(LastChunk)},
      {"HTTP/1.1 200 Text\r\n\r\n" + Body, 0, ServerEnd::HalfClose}};
  // Beyond what the kernel of the server receives ahead.
  const std::string Record(250'000, 'x');
  for (const RawResponse &Response : Broken) {
    CAPTURE(Response.Bytes);
    RawServer Server([&](const std::string &) { return Response; });
    NetRuntime Loop;
    Metrics Measured;
    Loop.hooks().Spawn([&] {
      StoreClient Client(Loop, Server.address(), {}, Measured);
      auto Appended = Client.append("work", 0, {Record}, std::nullopt);
      CHECK((!Appended && Appended.error() == StoreError::NoResponse));
      Loop.stop();
    });
    Loop.run();
  }
}
