#include "LibLoan/LoanBook.h"
#include "LibLoan/ReturnQueue.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};
const LoanId First{{HostId{1}, 5}, 1};
const Loan Hundred{"team", 100};

} // namespace

TEST_CASE("a loan is settled once, however often its return comes") {
  LoanBook Book({});
  REQUIRE(Book.begin(First, Hundred));
  REQUIRE(Book.grant(First));
  CHECK(Book.lent("team") == 100);
  auto Settled = Book.end(First, Begin);
  REQUIRE(Settled);
  CHECK(Settled->Amount == 100);
  CHECK_FALSE(Book.end(First, Begin));
  CHECK(Book.lent("team") == 0);
  CHECK(Book.open() == 0);
}

TEST_CASE("an ask that comes behind its own return is not granted") {
  LoanBook Book({});
  CHECK_FALSE(Book.end(First, Begin));
  CHECK(Book.stateOf(First) == LoanState::Ended);
  CHECK_FALSE(Book.begin(First, Hundred));
  CHECK(Book.open() == 0);
  Book.expire(Begin + 1min);
  CHECK(Book.stateOf(First) == LoanState::Unknown);
}

TEST_CASE("tokens found for an ask that was given up are the lender's again") {
  LoanBook Book({});
  REQUIRE(Book.begin(First, Hundred));
  CHECK_FALSE(Book.end(First, Begin));
  CHECK_FALSE(Book.grant(First));
  CHECK(Book.open() == 0);
}

TEST_CASE("another run of the same host has loans of its own") {
  LoanBook Book({});
  LoanId Reborn = First;
  Reborn.Borrower.Run = 6;
  REQUIRE(Book.begin(First, Hundred));
  REQUIRE(Book.grant(First));
  CHECK(Book.stateOf(Reborn) == LoanState::Unknown);
  CHECK_FALSE(Book.end(Reborn, Begin));
  CHECK(Book.lent("team") == 100);
}

TEST_CASE("open loans are bounded") {
  LoanPolicy Policy;
  Policy.MaxOpen = 2;
  LoanBook Book(Policy);
  LoanId Next = First;
  CHECK(Book.begin(Next, Hundred));
  Next.Number = 2;
  CHECK(Book.begin(Next, Hundred));
  Next.Number = 3;
  CHECK_FALSE(Book.begin(Next, Hundred));
  Book.refuse(First);
  CHECK(Book.begin(Next, Hundred));
}

TEST_CASE("a return is repeated until its lender has it") {
  ReturnQueue Queue({});
  Queue.add(HostId{1}, {7, 5, 30}, Begin);
  CHECK(Queue.takeDue(Begin + 50ms).empty());
  CHECK(Queue.takeDue(Begin + 100ms).size() == 1);
  CHECK(Queue.takeDue(Begin + 150ms).empty());
  Queue.onReceipt(HostId{2}, 7); // Of another host with the same number.
  CHECK(Queue.waiting() == 1);
  Queue.onReceipt(HostId{1}, 7);
  CHECK(Queue.waiting() == 0);
  CHECK(Queue.nextDue() == TimePoint::max());
}

TEST_CASE("a return that nobody takes is given up in the end") {
  ReturnQueue Queue({});
  Queue.add(HostId{1}, {7, 5, 30}, Begin);
  int Sent = 0;
  for (TimePoint Now = Begin; Now < Begin + 3min; Now += 50ms)
    Sent += static_cast<int>(Queue.takeDue(Now).size());
  CHECK(Sent < 60);
  CHECK(Queue.waiting() == 0);
  CHECK(Queue.givenUp() == 1);
}
