#include "LibObserve/StructuredLog.h"
#include "PlatformFixture.h"
#include "platform/StoreFeed.h"
#include "platform/WalletStore.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

TEST_CASE("an append lands at the offset stated, or not at all") {
  PlatformFixture Site;
  Site.play([&] {
    StoreClient &Client = *Site.Client;
    CHECK(Client.append("work", 0, {"a", "b"}, 0).value() == 2);
    CHECK(Client.append("work", 0, {"c"}, 0).error() == StoreError::Moved);
    CHECK(Client.append("work", 0, {"c"}, std::nullopt).value() == 3);
    auto Page = Client.read("work", 0, 1, {});
    REQUIRE(Page);
    CHECK(Page.value().Records == std::vector<std::string>{"b", "c"});
    CHECK(Page.value().End == 3);
  });
}

TEST_CASE("each answer of the store says what was done") {
  PlatformFixture Site;
  Site.play([&] {
    StoreClient &Client = *Site.Client;
    auto ErrorWith = [&](StoreFault Fault) {
      Site.Store.Fault = Fault;
      return Client.append("work", 0, {"a"}, std::nullopt).error();
    };
    CHECK(ErrorWith(StoreFault::Busy) == StoreError::NotDone);
    CHECK(ErrorWith(StoreFault::Limited) == StoreError::RateLimited);
    CHECK(ErrorWith(StoreFault::Refuse) == StoreError::Unanswered);
    CHECK(ErrorWith(StoreFault::LoseAnswer) == StoreError::Unanswered);
    Site.Store.Fault = StoreFault::None;
    // Only the last one was done.
    CHECK(Client.read("work", 0, 0, {}).value().End == 1);
    Site.Store.compact("work");
    CHECK(Client.read("work", 0, 0, {}).error() == StoreError::Trimmed);
  });
}

TEST_CASE("wallets go through the store and back") {
  PlatformFixture Site;
  Site.play([&] {
    WalletLog Log = makeWalletLog(*Site.Client, 0);
    WalletRecord Record{{"team", "host#1"}, {100, 40, 3, 7}, 0};
    CHECK(Log.AppendAt(0, {Record}) == WalletAppend::Done);
    CHECK(Log.AppendAt(0, {Record}) == WalletAppend::Moved);
    auto Newest = Log.ReadNewest();
    REQUIRE(Newest);
    CHECK(Newest.value().End == 1);
    REQUIRE(Newest.value().Records.size() == 1);
    CHECK(Newest.value().Records.front().Key == Record.Key);
    CHECK(Newest.value().Records.front().Share == Record.Share);
    Site.Store.compact(std::string(wire::WalletTopic));
    CHECK(Log.Read(0).error() == std::errc::result_out_of_range);
    CHECK(Log.ReadNewest().value().Records.size() == 1);
    Site.Store.Fault = StoreFault::Busy;
    CHECK(Log.AppendAt(1, {Record}) == WalletAppend::Refused);
    Site.Store.Fault = StoreFault::LoseAnswer;
    CHECK(Log.AppendAt(1, {Record}) == WalletAppend::Unanswered);
  });
}

TEST_CASE("nothing is taken from budgets beside a record that can't be read") {
  PlatformFixture Site;
  Site.Store.put(std::string(wire::WalletTopic), "team\nhost#1", "\x09later");
  Site.play([&] { CHECK_FALSE(makeWalletLog(*Site.Client, 0).ReadNewest()); });
}

TEST_CASE("a feed gives the whole topic, then news, also over a hole") {
  PlatformFixture Site;
  Site.Store.put("keyed.x", "a", "1");
  Site.Store.put("keyed.x", "a", "2");
  std::vector<std::string> Seen;
  int Wholes = 0;
  Site.play([&] {
    FeedHooks Hooks;
    Hooks.OnWhole = [&](const std::vector<KeyedRecord> &Records) {
      ++Wholes;
      for (const KeyedRecord &Record : Records)
        Seen.push_back(Record.Key + "=" + Record.Value.value_or("-"));
    };
    Hooks.OnRecord = [&](const KeyedRecord &Record) {
      Seen.push_back(Record.Key + "=" + Record.Value.value_or("-"));
    };
    Hooks.OnLost = [] {};
    Hooks.OnRegained = [] {};
    int Rounds = 0;
    StoreFeed Feed(*Site.Client, Site.Loop.hooks(), {"keyed.x", 0ms, 1ms, 1ms},
                   Hooks);
    // The stop is asked for before each read.
    Feed.run([&] {
      ++Rounds;
      if (Rounds == 2) {
        Site.Store.put("keyed.x", "b", "3");
        Site.Store.put("keyed.x", "a", "");
      }
      if (Rounds == 3) {
        Site.Store.put("keyed.x", "c", "4");
        Site.Store.compact("keyed.x");
      }
      return Rounds > 4;
    });
  });
  CHECK(Wholes == 2);
  CHECK(Seen == std::vector<std::string>{"a=2", "b=3", "a=-", "b=3", "c=4"});
}
