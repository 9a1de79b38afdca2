#include "LibLoan/LoanTable.h"
#include "LibLoan/ReturnQueue.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};
const LoanId First{{HostId{1}, 5}, 1};
const Loan HundredTokens{"team", 100};

} // namespace

TEST_CASE("a loan is settled once, even if its return is duplicated") {
  LoanTable Table({});
  REQUIRE(Table.begin(First, HundredTokens));
  REQUIRE(Table.grant(First));
  CHECK(Table.lent("team") == 100);
  auto Settled = Table.end(First, Begin);
  REQUIRE(Settled);
  CHECK(Settled->Amount == 100);
  CHECK_FALSE(Table.end(First, Begin));
  CHECK(Table.lent("team") == 0);
  CHECK(Table.open() == 0);
}

TEST_CASE("a request that arrives after its own return is not granted") {
  LoanTable Table({});
  CHECK_FALSE(Table.end(First, Begin));
  CHECK(Table.stateOf(First) == LoanState::Ended);
  CHECK_FALSE(Table.begin(First, HundredTokens));
  CHECK(Table.open() == 0);
  Table.expire(Begin + 1min);
  CHECK(Table.stateOf(First) == LoanState::Unknown);
}

TEST_CASE("a cancelled request is not granted") {
  LoanTable Table({});
  REQUIRE(Table.begin(First, HundredTokens));
  CHECK_FALSE(Table.end(First, Begin));
  CHECK_FALSE(Table.grant(First));
  CHECK(Table.open() == 0);
}

TEST_CASE("loans of different runs of a host are independent") {
  LoanTable Table({});
  LoanId Restarted = First;
  Restarted.Borrower.Run = 6;
  REQUIRE(Table.begin(First, HundredTokens));
  REQUIRE(Table.grant(First));
  CHECK(Table.stateOf(Restarted) == LoanState::Unknown);
  CHECK_FALSE(Table.end(Restarted, Begin));
  CHECK(Table.lent("team") == 100);
}

TEST_CASE("the number of open loans is limited") {
  LoanPolicy Policy;
  Policy.MaxOpen = 2;
  LoanTable Table(Policy);
  LoanId Next = First;
  CHECK(Table.begin(Next, HundredTokens));
  Next.Number = 2;
  CHECK(Table.begin(Next, HundredTokens));
  Next.Number = 3;
  CHECK_FALSE(Table.begin(Next, HundredTokens));
  Table.refuse(First);
  CHECK(Table.begin(Next, HundredTokens));
}

TEST_CASE("a return is retried until its lender acknowledges it") {
  ReturnQueue Queue({});
  Queue.add(HostId{1}, {7, 5, 30}, Begin);
  CHECK(Queue.takeDue(Begin + 50ms).empty());
  CHECK(Queue.takeDue(Begin + 100ms).size() == 1);
  CHECK(Queue.takeDue(Begin + 150ms).empty());
  Queue.onAck(HostId{2}, 7); // Same number, but from another host.
  CHECK(Queue.pending() == 1);
  Queue.onAck(HostId{1}, 7);
  CHECK(Queue.pending() == 0);
  CHECK(Queue.nextDue() == TimePoint::max());
}

TEST_CASE("a return without acknowledgement is eventually dropped") {
  ReturnQueue Queue({});
  Queue.add(HostId{1}, {7, 5, 30}, Begin);
  int Sent = 0;
  for (TimePoint Now = Begin; Now < Begin + 3min; Now += 50ms)
    Sent += static_cast<int>(Queue.takeDue(Now).size());
  CHECK(Sent < 60);
  CHECK(Queue.pending() == 0);
  CHECK(Queue.abandoned() == 1);
}
