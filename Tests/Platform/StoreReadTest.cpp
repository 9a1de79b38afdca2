#include "../LibHttp/RawServer.h"
#include "PlatformFixture.h"

using namespace bergamothook;
using namespace bergamothook::platform;
using namespace std::chrono_literals;

namespace {

constexpr StoreLimits ShortLimits{.ResponseTimeout = 500ms};

} // namespace

TEST_CASE("a read that makes progress is not given up, however slow it is") {
  PlatformFixture Fixture;
  const std::string Record(100'000, 'x');
  Fixture.run([&] {
    StoreClient Client(Fixture.Loop, Fixture.Store.address(), ShortLimits,
                       Fixture.Measured);
    REQUIRE(Client.append("work", 0, {Record}, std::nullopt));
    Fixture.Store.put("keyed.x", "key", Record);
    Fixture.Store.PieceBytes = 5'000;
    Fixture.Store.PiecePause = 50ms;
    auto Page = Client.read("work", 0, 0, {});
    CHECK((Page && Page.value().Records.size() == 1));
    auto Newest = Client.readNewest("keyed.x", 0);
    CHECK((Newest && Newest.value().Records.size() == 1));
  });
}

TEST_CASE("a read that makes no progress is given up soon") {
  PlatformFixture Fixture;
  Fixture.run([&] {
    StoreClient Client(Fixture.Loop, Fixture.Store.address(), ShortLimits,
                       Fixture.Measured);
    REQUIRE(
        Client.append("work", 0, {std::string(100'000, 'x')}, std::nullopt));
    Fixture.Store.StallAfter = 50'000;
    TimePoint Begin = readMonotonicClock();
    ReadCost Cost;
    CHECK(Client.read("work", 0, 0, {.Cost = &Cost}).error() ==
          StoreError::NoResponse);
    CHECK(readMonotonicClock() - Begin < 3 * ShortLimits.ResponseTimeout);
    CHECK(Cost.DroppedBytes == 50'000);
  });
}

TEST_CASE("a read of the store needs few rounds of a busy event loop") {
  constexpr std::size_t PageBytes = 1'000'000;
  // Half a megabyte within 2 s at rounds of 0.6 s.
  constexpr int MaxRounds = 6;
  std::string Page(2 * sizeof(std::uint64_t), '\0');
  Page += frameRecord(std::string(PageBytes, 'x'));
  RawServer Server([&](const std::string &) {
    return RawResponse{"HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(Page.size()) + "\r\n\r\n" + Page};
  });
  NetRuntime Loop;
  Metrics Measured;
  Runtime Tasks = Loop.hooks();
  int Rounds = 0;
  bool IsDone = false;
  Tasks.Spawn([&] {
    while (!IsDone) {
      ++Rounds;
      // Other tasks have the processor for this long.
      TimePoint Until = Tasks.Now() + 20ms;
      while (Tasks.Now() < Until) {
      }
      Tasks.sleepUntil(Tasks.Now() + 100us);
    }
    Loop.stop();
  });
  Tasks.Spawn([&] {
    StoreClient Client(Loop, Server.address(), {}, Measured);
    auto Read = Client.read("work", 0, 0, {});
    IsDone = true;
    CHECK((Read && Read.value().Records.size() == 1));
    CAPTURE(Rounds);
    CHECK(Rounds <= MaxRounds);
  });
  Loop.run();
}

TEST_CASE(
    "a connection to the store may take as long to be made as an answer") {
  using boost::asio::ip::tcp;
  NetRuntime Loop;
  Metrics Measured;
  Runtime Tasks = Loop.hooks();
  tcp::acceptor Acceptor(Loop.context(), tcp::v4());
  Acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
  Acceptor.listen(0);
  std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  Tasks.Spawn([&] {
    // While it waits to be accepted, the kernel drops the first packet of the
    // next one, which is sent again after a second.
    auto Waiting = TcpConnection::connect(Loop, Address, {}, Tasks.Now() + 1s);
    REQUIRE(Waiting);
    bool HasAccepted = false;
    Tasks.Spawn([&] {
      Tasks.sleepUntil(Tasks.Now() + 700ms);
      Acceptor.accept();
      HasAccepted = true;
    });
    StoreClient Client(Loop, Address, {}, Measured);
    CHECK(Client.read("work", 0, 0, {}).error() == StoreError::NoResponse);
    while (!HasAccepted)
      Tasks.sleepUntil(Tasks.Now() + 1ms);
    Loop.stop();
  });
  Loop.run();
}
