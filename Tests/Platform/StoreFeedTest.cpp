#include "platform/StoreFeed.h"
#include "PlatformFixture.h"

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *Topic = "keyed.x";
constexpr std::size_t LargeBytes = 200'000;

std::string largeValue(char Fill) { return std::string(LargeBytes, Fill); }

/// Follows the topic of a fake store, of which only the newest records matter.
struct FollowedTopic {
  FollowedTopic() {
    this->Hooks.OnSnapshot = [this](const std::vector<KeyedRecord> &Records,
                                    std::uint64_t) {
      for (const KeyedRecord &Record : Records)
        this->note(Record);
    };
    this->Hooks.OnRecord = [this](const KeyedRecord &Record) {
      this->note(Record);
    };
    this->Hooks.OnRead = [this](const FeedRead &Read) {
      this->Bytes += Read.Cost.Bytes;
      this->PassedOver += Read.PassedOver;
    };
    this->Hooks.OnCurrent = [this](TimePoint AsOf) {
      this->CurrentAsOf.push_back(AsOf);
    };
    this->Hooks.OnUnavailable = [] {};
    this->Hooks.OnAvailable = [] {};
  }

  /// Reads as often as stated; calls \p Before with the number of each read.
  void follow(int Reads, const std::function<void(int)> &Before) {
    this->Fixture.run([&] {
      int Read = 0;
      StoreFeed Feed(
          *this->Fixture.Client, this->Fixture.Loop.hooks(),
          {.Topic = Topic, .Pause = 1ms, .OnlyNewest = true, .RetryPause = 1ms},
          this->Hooks);
      Feed.run([&] {
        if (Read >= Reads)
          return true;
        Before(Read++);
        return false;
      });
    });
  }

  void note(const KeyedRecord &Record) {
    this->Seen.push_back(
        Record.Key + "=" +
        (Record.Value ? Record.Value->substr(0, 1) : std::string("-")));
  }

  PlatformFixture Fixture;
  FeedHooks Hooks;
  std::vector<std::string> Seen;
  std::vector<TimePoint> CurrentAsOf;
  std::uint64_t Bytes = 0;
  std::uint64_t PassedOver = 0;
};

} // namespace

TEST_CASE("what a feed reads does not grow with the versions that it missed") {
  constexpr int Missed = 20;
  FollowedTopic Followed;
  FakeStore &Store = Followed.Fixture.Store;
  Store.put(Topic, "config", "0");
  Followed.follow(2, [&](int Read) {
    if (Read == 1)
      for (int I = 0; I < Missed; ++I)
        Store.put(Topic, "config", largeValue(static_cast<char>('a' + I)));
  });
  CHECK(Followed.Seen == std::vector<std::string>{"config=0", "config=t"});
  CHECK(Followed.Bytes < 2 * LargeBytes);
  CHECK(Followed.PassedOver == Missed - 1);
}

TEST_CASE("a feed that missed one version reads it from the log") {
  FollowedTopic Followed;
  FakeStore &Store = Followed.Fixture.Store;
  Store.put(Topic, "config", "0");
  Followed.follow(2, [&](int Read) {
    if (Read == 0)
      return;
    Store.put(Topic, "evacuated", "1");
    Store.put(Topic, "config", largeValue('a'));
  });
  CHECK(Followed.Seen ==
        std::vector<std::string>{"config=0", "evacuated=1", "config=a"});
  CHECK(Store.Calls == std::vector<std::string>{"/-/log-newest", "/-/log-read",
                                                "/-/log-read"});
  CHECK(Followed.CurrentAsOf.size() == 2);
}

TEST_CASE("a record that a read of its size does not hold is read otherwise") {
  FollowedTopic Followed;
  FakeStore &Store = Followed.Fixture.Store;
  Store.FetchOverhead = 10'000;
  Store.put(Topic, "config", "0");
  Followed.follow(2, [&](int Read) {
    if (Read == 1)
      Store.put(Topic, "config", largeValue('a'));
  });
  CHECK(Followed.Seen == std::vector<std::string>{"config=0", "config=a"});
}

TEST_CASE("records that others of the same read supersede are passed over") {
  FollowedTopic Followed;
  FakeStore &Store = Followed.Fixture.Store;
  Followed.follow(2, [&](int Read) {
    if (Read == 0)
      return;
    Store.put(Topic, "config", "1");
    Store.put(Topic, "evacuated", "1");
    Store.put(Topic, "config", "2");
    Store.put(Topic, "evacuated", "");
  });
  CHECK(Followed.Seen == std::vector<std::string>{"config=2", "evacuated=-"});
  CHECK(Followed.PassedOver == 2);
  CHECK(Store.Calls ==
        std::vector<std::string>{"/-/log-newest", "/-/log-read"});
}

TEST_CASE("a feed is current as of a read whose end it has reached, though the "
          "topic grows on") {
  FollowedTopic Followed;
  FakeStore &Store = Followed.Fixture.Store;
  TimePoint Now{1h};
  Followed.Hooks.Clock = [&] { return Now; };
  Store.put(Topic, "config", "0");
  Followed.follow(2, [&](int Read) {
    if (Read == 0)
      return;
    Store.put(Topic, "config", largeValue('a'));
    Store.OnCall = [&, Calls = 0](const std::string &) mutable {
      Now += 1s;
      // Appended between the two reads of the first version.
      if (++Calls == 2)
        Store.put(Topic, "config", largeValue('b'));
    };
  });
  CHECK(Followed.Seen == std::vector<std::string>{"config=0", "config=a"});
  REQUIRE(Followed.CurrentAsOf.size() == 2);
  CHECK(Followed.CurrentAsOf.back() == TimePoint{1h});
}

TEST_CASE("a feed without memory for a record reads it again") {
  FollowedTopic Followed;
  FakeStore &Store = Followed.Fixture.Store;
  int Failures = 1;
  Followed.Hooks.OnRecord = [&](const KeyedRecord &Record) {
    if (Failures-- > 0)
      throw std::bad_alloc();
    Followed.note(Record);
  };
  Followed.Fixture.run([&] {
    int Read = 0;
    StoreFeed Feed(*Followed.Fixture.Client, Followed.Fixture.Loop.hooks(),
                   {.Topic = Topic, .Pause = 1ms}, Followed.Hooks);
    auto IsStopped = [&] {
      if (++Read == 2)
        Store.put(Topic, "config", "1");
      return Read > 3;
    };
    CHECK_THROWS_AS(Feed.run(IsStopped), std::bad_alloc);
    Feed.run(IsStopped);
  });
  CHECK(Followed.Seen == std::vector<std::string>{"config=1"});
}

TEST_CASE("a snapshot is read if more than one record, or a larger one than a "
          "read can hold, is missing") {
  RecordPage Page;
  Page.From = 10;
  Page.Records = {"a", "b"};
  auto ChooseWith = [&](std::uint64_t End, std::uint64_t NextBytes) {
    Page.End = End;
    Page.NextBytes = NextBytes;
    return chooseCatchUp(Page, 1024);
  };
  CHECK(ChooseWith(12, 0) == CatchUp::UpToDate);
  CHECK(ChooseWith(13, 500'000) == CatchUp::ReadRest);
  CHECK(ChooseWith(13, 0) == CatchUp::ReadRest);
  CHECK(ChooseWith(13, 1024 * 1024 + 1) == CatchUp::ReadSnapshot);
  CHECK(ChooseWith(14, 100) == CatchUp::ReadSnapshot);
}
