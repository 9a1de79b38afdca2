#include "LibRateLimit/LimitPool.h"
#include "LibRateLimit/LimitShare.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Origin{1h};
constexpr HostId HostA{1};
constexpr HostId HostB{2};
constexpr Duration LeaseTime = 3s;

int takeAll(PermitBucket &Bucket, TimePoint Now) {
  int Taken = 0;
  while (Bucket.take(Now))
    ++Taken;
  return Taken;
}

} // namespace

TEST_CASE("a bucket starts empty and yields its rate") {
  PermitBucket Bucket;
  Bucket.setRate(2, Origin);
  CHECK_FALSE(Bucket.take(Origin));
  CHECK(Bucket.untilNext(Origin) == 500ms);
  int Taken = 0;
  for (TimePoint Now = Origin; Now <= Origin + 10s; Now += 10ms)
    Taken += Bucket.take(Now) ? 1 : 0;
  CHECK(Taken == 20);
}

TEST_CASE("permits that were not taken in time are lost") {
  PermitBucket Fast;
  Fast.setRate(10, Origin);
  CHECK(takeAll(Fast, Origin + 1min) <= 6);
  PermitBucket Slow;
  Slow.setRate(0.01, Origin);
  CHECK_FALSE(Slow.take(Origin + 101s));
  CHECK(Slow.take(Origin + 200s));
}

TEST_CASE("a share is leased to one host at a time") {
  LimitShare Share(LeaseTime);
  CHECK(Share.lease(HostA, 1, Origin));
  CHECK_FALSE(Share.lease(HostB, 1, Origin + 2s));
  CHECK(Share.lease(HostA, 2, Origin + 2s));
  CHECK_FALSE(Share.lease(HostB, 2, Origin + 4s));
  CHECK(Share.lease(HostB, 3, Origin + 5s));
}

TEST_CASE("a release that a later request overtook does not end its lease") {
  LimitShare Share(LeaseTime);
  CHECK(Share.lease(HostA, 2, Origin));
  Share.release(HostA, 1, Origin);
  Share.release(HostB, 9, Origin);
  CHECK_FALSE(Share.lease(HostB, 9, Origin + 1s));
  Share.release(HostA, 2, Origin + 1s);
  CHECK(Share.lease(HostB, 9, Origin + 1s));
}

TEST_CASE("a lease yields permits from its request until its end") {
  LimitPool Pool({});
  Pool.setLimit(8, Origin);
  Pool.beginRound(1, Origin);
  Pool.onLease(HostA, 1, 4, Origin + 2s);
  CHECK(Pool.share(Origin + 2s) == 0.25);
  CHECK(Pool.take(HostA, Origin + 2600ms));
  CHECK(Pool.share(Origin + LeaseTime) == 0);
  CHECK_FALSE(Pool.take(HostA, Origin + LeaseTime));
  Pool.onLease(HostB, 1, 4, Origin + 10s); // The answer to an old request.
  CHECK(Pool.share(Origin + 10s) == 0);
}

TEST_CASE("shares are counted as their holders know them") {
  LimitPool Pool({});
  Pool.setLimit(8, Origin);
  Pool.beginRound(1, Origin);
  Pool.onLease(HostA, 1, 4, Origin);
  Pool.onLease(HostB, 1, 2, Origin);
  CHECK(Pool.share(Origin) == 0.75);
}
