#include "OrderModel.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

void tell(const ModelResult &Found) {
  std::string Steps;
  for (const auto &Step : Found.Counterexample)
    Steps += Step + "; ";
  MESSAGE("states " << Found.States << " " << Steps);
}

} // namespace

TEST_CASE("two processes never run an order twice, in any schedule") {
  ModelResult Found = exploreOrders({2, 3, 1, 0, 0}, SeededMistake::None);
  tell(Found);
  CHECK(Found.Counterexample.empty());
}

TEST_CASE("a process that is wrongly declared ended harms nothing") {
  ModelResult Found = exploreOrders({2, 2, 1, 1, 0}, SeededMistake::None);
  tell(Found);
  CHECK(Found.Counterexample.empty());
}

TEST_CASE("a copy of an append changes nothing") {
  ModelResult Found = exploreOrders({2, 2, 1, 0, 1}, SeededMistake::None);
  tell(Found);
  CHECK(Found.Counterexample.empty());
}

TEST_CASE("three processes never run an order twice, in any schedule") {
  ModelResult Found = exploreOrders({3, 3, 0, 0, 0}, SeededMistake::None);
  tell(Found);
  CHECK(Found.Counterexample.empty());
}

TEST_CASE("each seeded mistake is found") {
  for (SeededMistake Mistake :
       {SeededMistake::DispatchUnread, SeededMistake::IgnoreWinner,
        SeededMistake::ReleaseAfterDispatch, SeededMistake::TakeOverEnded}) {
    CAPTURE(static_cast<int>(Mistake));
    ModelResult Found = exploreOrders({2, 3, 2, 1, 0}, Mistake);
    tell(Found);
    CHECK_FALSE(Found.Counterexample.empty());
  }
}
