#include "LibOutcome/OrderFold.h"
#include "LibOutcome/OrderKey.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr Incarnation First{HostId{1}, 1};
constexpr Incarnation Second{HostId{2}, 1};
constexpr RequestId Order{7, 7};
constexpr Hash128 Body{1, 1};
constexpr Hash128 OtherBody{2, 2};
constexpr std::int64_t Noon = 1'780'000'000'000;

/// Applies records to a state machine in order.
struct TestLog {
  explicit TestLog(OrderFoldLimits Limits = {}) : Orders(Limits) {}

  void claim(std::uint64_t Id, Incarnation Writer, Hash128 BodyHash = Body,
             std::int64_t At = Noon, std::int64_t KeyDate = 0,
             RequestId Request = Order) {
    OrderClaim Claim;
    Claim.Request = Request;
    Claim.BodyHash = BodyHash;
    Claim.WrittenAt = At;
    Claim.KeyDate = KeyDate;
    this->add(makeOrderRecord({0, Id}, Writer, OrderRecordKind::Claim, Claim));
  }

  template <typename Content>
  void write(OrderRecordKind Kind, Incarnation Writer, const Content &Written) {
    this->add(makeOrderRecord({1, this->Next}, Writer, Kind, Written));
  }

  void add(const StreamRecord &Record) {
    CHECK(this->Orders.apply(Record, {Offset{this->Next++}, 0}));
  }

  OrderState state() const { return this->Orders.find(Order)->State; }

  OrderFold Orders;
  std::uint64_t Next = 0;
};

OrderResult resultOf(std::uint64_t Claim) {
  OrderResult Answer;
  Answer.Request = Order;
  Answer.Claim = {0, Claim};
  Answer.Status = 201;
  Answer.Body = "made";
  return Answer;
}

} // namespace

TEST_CASE("the first claim in log order wins, and duplicates change nothing") {
  TestLog Log;
  Log.claim(1, First);
  Log.claim(2, Second);
  Log.claim(1, First);
  CHECK(Log.Orders.isWinner(Order, {0, 1}));
  CHECK_FALSE(Log.Orders.isWinner(Order, {0, 2}));
  Log.write(OrderRecordKind::Result, Second, resultOf(2));
  CHECK(Log.state() == OrderState::Claimed);
  Log.write(OrderRecordKind::Result, First, resultOf(1));
  CHECK(Log.state() == OrderState::Done);
  Log.claim(3, Second);
  CHECK(Log.Orders.find(Order)->Claim == RecordId{0, 1});
}

TEST_CASE("a released claim frees the key for the same body only") {
  TestLog Log;
  Log.claim(1, First);
  Log.write(OrderRecordKind::NotRun, First, OrderNotRun{Order, {0, 1}});
  Log.claim(1, First);
  CHECK(Log.state() == OrderState::Released);
  Log.claim(2, Second, OtherBody);
  CHECK(Log.state() == OrderState::Released);
  Log.claim(3, Second);
  CHECK(Log.Orders.isWinner(Order, {0, 3}));
  Log.write(OrderRecordKind::NotRun, First, OrderNotRun{Order, {0, 3}});
  CHECK(Log.state() == OrderState::Claimed);
}

TEST_CASE("a claim released before it reaches the log never wins") {
  TestLog Log;
  Log.write(OrderRecordKind::NotRun, First, OrderNotRun{Order, {0, 1}});
  Log.claim(1, First);
  CHECK(Log.Orders.find(Order) == nullptr);
  Log.claim(2, Second);
  CHECK(Log.Orders.isWinner(Order, {0, 2}));
}

TEST_CASE("the claim of an ended process is kept, and cannot be taken over") {
  TestLog Log;
  Log.claim(1, First);
  Log.write(OrderRecordKind::IncarnationEnded, Second,
            OrderIncarnationEnded{First});
  CHECK(Log.state() == OrderState::Unknown);
  Log.claim(2, Second);
  CHECK_FALSE(Log.Orders.isWinner(Order, {0, 2}));
  Log.claim(3, First, Body, Noon, 0, RequestId{8, 8});
  CHECK(Log.Orders.find({8, 8}) == nullptr);
  Log.write(OrderRecordKind::Result, First, resultOf(1));
  CHECK(Log.state() == OrderState::Done);
}

TEST_CASE("an operator settles an unknown order, and the key remains used") {
  TestLog Log;
  Log.claim(1, First);
  Log.write(OrderRecordKind::Unknown, First, OrderUnknown{Order, {0, 1}});
  Log.write(OrderRecordKind::OperatorSettled, Second,
            OrderSettled{Order, false, "ana", "the workshop looked"});
  CHECK(Log.state() == OrderState::SettledNotRun);
  Log.claim(2, Second);
  CHECK_FALSE(Log.Orders.isWinner(Order, {0, 2}));
  CHECK(Log.Orders.find(Order)->Operator == "ana");
}

TEST_CASE("a key older than the retention is rejected, dated or not") {
  OrderFoldLimits Limits;
  Limits.KeyRetention = 1h;
  Limits.MaxExpiredUndatedKeys = 1;
  TestLog Log(Limits);
  constexpr std::int64_t HourMilliseconds = 3'600'000;
  Log.claim(1, First, Body, Noon, Noon, {1, 1});
  Log.claim(2, First, Body, Noon, 0, {2, 2});
  Log.claim(3, First, Body, Noon + HourMilliseconds, 0, {3, 3});
  Log.claim(4, First, Body, Noon + 2 * HourMilliseconds, 0, {4, 4});
  CHECK(Log.Orders.find({1, 1}) == nullptr);
  CHECK(Log.Orders.keyStatusOf({1, 1}, Noon) == KeyStatus::TooOld);
  CHECK(Log.Orders.keyStatusOf({2, 2}, 0) == KeyStatus::TooOld);
  CHECK(Log.Orders.keyStatusOf({9, 9}, 0) == KeyStatus::Claimable);
  // From here on the set of expired undated keys is full, so that every unknown
  // undated key is rejected.
  Log.claim(5, First, Body, Noon + 3 * HourMilliseconds, 0, {5, 5});
  Log.claim(6, First, Body, Noon + 4 * HourMilliseconds, 0, {6, 6});
  CHECK(Log.Orders.keyStatusOf({9, 9}, 0) == KeyStatus::TooOld);
  CHECK(Log.Orders.keyStatusOf({9, 9}, Noon + 4 * HourMilliseconds) ==
        KeyStatus::Claimable);
}

TEST_CASE("one wrong clock does not expire other keys") {
  TestLog Log;
  Log.claim(1, First);
  constexpr std::int64_t YearMilliseconds = 31'536'000'000;
  Log.claim(2, Second, Body, Noon + YearMilliseconds, 0, {2, 2});
  CHECK(Log.Orders.find(Order) != nullptr);
}

TEST_CASE("a state machine restored from a snapshot has the same state") {
  TestLog Log;
  Log.claim(1, First);
  Log.write(OrderRecordKind::Result, First, resultOf(1));
  OrderFold Copy({});
  std::string Snapshot = Log.Orders.snapshot();
  CHECK(Copy.restore(Snapshot));
  CHECK(Copy.find(Order)->Body == "made");
  CHECK(Copy.snapshot() == Snapshot);
  CHECK_FALSE(Copy.restore(Snapshot.substr(0, Snapshot.size() - 1)));
  CHECK(Copy.find(Order)->Body == "made");
}

TEST_CASE("the date or the issuer is parsed from a key") {
  CHECK(dateOfKey("20260307T0915Z-rail-4") ==
        WallTime(std::chrono::sys_days(std::chrono::year(2026) / 3 / 7)) + 9h +
            15min);
  CHECK(dateOfKey("0195a6f0-0000-7000-8000-000000000000")
            ->time_since_epoch()
            .count() == 0x0195a6f00000);
  CHECK_FALSE(dateOfKey("20261307T0915Z"));
  CHECK_FALSE(dateOfKey("order-4711"));
  OrderTicket Ticket{First, 99};
  CHECK(ticketOfKey(toKey(Ticket)) == Ticket);
  CHECK_FALSE(ticketOfKey("ticket-12"));
}
