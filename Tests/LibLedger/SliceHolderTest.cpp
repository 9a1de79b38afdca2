#include "LedgerFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;

TEST_CASE("a reservation covered by the slice needs no log") {
  LedgerFleet Fleet(3);
  Fleet.topUp(10'000);
  auto First = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(First);
  std::size_t Before = Fleet.Log.size();
  auto Second = Fleet.reserve(Fleet[1], 2, 100);
  CHECK(Second);
  CHECK(Fleet.Log.size() == Before);
  CHECK(Fleet.settle(Fleet[1], First.value(), 60));
  Fleet.rounds(3);
  CHECK(Fleet.view().Settled == 60);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("local slices match the fold once the whole log was read") {
  LedgerFleet Fleet(3);
  Fleet.topUp(100'000);
  std::uint64_t Request = 0;
  for (int Round = 0; Round < 40; ++Round) {
    for (std::size_t Number = 1; Number <= 3; ++Number)
      if (auto Id = Fleet.reserve(Fleet[Number], ++Request, 200))
        CHECK(Fleet.settle(Fleet[Number], Id.value(), Request % 150));
    Fleet.round();
  }
  Fleet.rounds(5);
  auto View = Fleet.view();
  CHECK(View.Settled > 0);
  for (const auto &Slice : View.Slices) {
    auto Local = Fleet[Slice.Holder.Host.Value].Holder.slice(TestTeam);
    CHECK(Slice.Outstanding == Local.Available + Local.Reserved +
                                   Local.Settling + Local.Returning +
                                   Local.Disputed);
  }
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("a distributed budget can be spent down to one reservation") {
  LedgerFleet Fleet(3);
  Fleet.topUp(1'000);
  constexpr TokenCount Largest = 90;
  std::uint64_t Request = 0;
  int Refused = 0;
  while (Refused < 3) {
    auto &Host = Fleet[Request % 3 + 1];
    auto Id = Fleet.reserveSoon(Host, ++Request, Largest);
    Refused = Id ? 0 : Refused + 1;
    if (Id)
      CHECK(Fleet.settle(Host, Id.value(), Largest));
  }
  Fleet.rounds(5);
  auto View = Fleet.view();
  CHECK(View.Settled > 1'000 - Largest);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("a stop returns all tokens") {
  LedgerFleet Fleet(3);
  Fleet.topUp(10'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  Fleet[1].Holder.beginStop(Fleet.Now);
  CHECK(Fleet.reserve(Fleet[1], 2, 1).error() == LedgerError::Stopping);
  Fleet.rounds(5);
  CHECK_FALSE(Fleet[1].Holder.isDrained());
  CHECK(Fleet.settle(Fleet[1], Id.value(), 40));
  Fleet.rounds(5);
  CHECK(Fleet[1].Holder.isDrained());
  auto View = Fleet.view();
  CHECK(View.Settled == 40);
  CHECK(View.Stranded == 0);
  CHECK(View.Slices.size() <= 2);
  CHECK(Fleet.IsConsistent);
}
