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
    CHECK(Client.read("work", 0, 0, {}, &Cost).error() ==
          StoreError::NoResponse);
    CHECK(readMonotonicClock() - Begin < 3 * ShortLimits.ResponseTimeout);
    CHECK(Cost.DroppedBytes == 50'000);
  });
}
