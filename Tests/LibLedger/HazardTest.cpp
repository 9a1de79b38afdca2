/// \file
/// Tests that provoke each of the eight hazards of prepaid budgets.

#include "LedgerFleet.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

constexpr std::uint64_t SecondRun = 2;

void markDead(LedgerFleet &Fleet, LedgerHost &Dead,
              EndEvidence Evidence = EndEvidence::Operator) {
  Dead.IsDead = true;
  Fleet.appendAsOperator(IncarnationEnded{Dead.Self, Evidence, "test"});
}

/// \returns the maximum that can still be settled without an operator's record.
TokenCount spendable(const BudgetView &View) {
  return View.ToppedUp - View.Settled - View.Stranded;
}

} // namespace

TEST_CASE("hazard 1: tokens of a paused holder are not reclaimed") {
  LedgerFleet Fleet(3);
  Fleet.topUp(300);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  Fleet[1].IsDead = true; // Paused; there is no evidence of its end.
  TokenCount Others = 0;
  std::uint64_t Request = 10;
  for (int Try = 0; Try < 40; ++Try) {
    auto &Host = Fleet[2 + Try % 2];
    auto Reservation = Fleet.reserveSoon(Host, ++Request, 20, 5);
    Others += Reservation ? 20 : 0;
    if (Reservation)
      CHECK(Fleet.settle(Host, Reservation.value(), 20));
  }
  // The paused holder resumes and bills its reservation.
  Fleet[1].IsDead = false;
  CHECK(Fleet.settle(Fleet[1], Id.value(), 100));
  Fleet.rounds(5);
  auto View = Fleet.view();
  CHECK(View.Settled == Others + 100);
  CHECK(View.Settled <= View.ToppedUp);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 1: a fenced holder that resumes neither spends nor bills") {
  LedgerFleet Fleet(3);
  Fleet.topUp(10'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  Fleet.rounds(3);
  markDead(Fleet, Fleet[1]);
  Fleet.rounds(5);
  auto Before = Fleet.view();
  // The reserved tokens and the cap stay unavailable to all hosts.
  CHECK(Before.Stranded >= 100);
  Fleet[1].IsDead = false;
  CHECK(Fleet.settle(Fleet[1], Id.value(), 100));
  Fleet.rounds(5);
  CHECK(Fleet[1].Holder.isFenced());
  CHECK(Fleet.reserve(Fleet[1], 2, 1).error() == LedgerError::Fenced);
  auto View = Fleet.view();
  CHECK(View.Settled == 0);
  CHECK(View.Stranded == Before.Stranded);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 2: a dead holder's unsettled tokens stay, the rest returns") {
  LedgerFleet Fleet(3);
  Fleet.topUp(100'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  Fleet.rounds(10);
  auto Local = Fleet[1].Holder.slice(TestTeam);
  REQUIRE(Local.Available > Local.UnwitnessedCap);
  markDead(Fleet, Fleet[1]);
  Fleet.rounds(5);
  auto View = Fleet.view();
  CHECK(View.Stranded == 100 + Local.UnwitnessedCap);
  CHECK(View.Settled == 0);
  // The caller's retry is billed on another host, which frees the reservation.
  auto Retry = Fleet.reserveSoon(Fleet[2], 1, 100);
  REQUIRE(Retry);
  CHECK(Fleet.settle(Fleet[2], Retry.value(), 80));
  for (int Round = 0; Round < 5; ++Round)
    Fleet.round(std::chrono::seconds(11));
  View = Fleet.view();
  CHECK(View.Settled == 80);
  CHECK(View.Stranded == Local.UnwitnessedCap);
  // The operator closes the remainder, which no witness could report.
  Fleet.appendAsOperator(WriteBack{TestTeam, Fleet[1].Self, 30, "test"});
  Fleet.rounds(3);
  View = Fleet.view();
  CHECK(View.Settled == 110);
  CHECK(View.Stranded == 0);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 2: an incarnation ends only with valid evidence") {
  LedgerFleet Fleet(2);
  Fleet.topUp(10'000);
  REQUIRE(Fleet.reserveSoon(Fleet[1], 1, 100));
  Incarnation Stranger = LedgerFleet::idOf(9);
  Incarnation Successor = LedgerFleet::idOf(1, SecondRun);
  Incarnation Ended = Fleet[1].Self;
  auto AppendEnd = [&](Incarnation Writer, EndEvidence Evidence) {
    IncarnationEnded Body{Ended, Evidence, {}};
    Fleet.Log.push_back(makeLedgerRecord({8, ++Fleet.NextId}, Writer, Body));
    Fleet.rounds(2);
    return Fleet[2].Fold.isEnded(Ended);
  };
  CHECK_FALSE(AppendEnd(Stranger, EndEvidence::CleanShutdown));
  CHECK_FALSE(AppendEnd(Stranger, EndEvidence::Successor));
  CHECK_FALSE(AppendEnd(Ended, EndEvidence::Successor));
  CHECK(AppendEnd(Successor, EndEvidence::Successor));
}

TEST_CASE("hazard 3: slices cover a log outage of ten minutes") {
  LedgerFleet Fleet(3);
  Fleet.topUp(100'000'000);
  constexpr TokenCount Spent = 500;
  constexpr Duration Step = std::chrono::seconds(1);
  std::uint64_t Request = 0;
  auto ServeOn = [&](LedgerHost &Host) {
    auto Id = Fleet.reserve(Host, ++Request, 2'000);
    return Id && Fleet.settle(Host, Id.value(), Spent);
  };
  for (std::size_t Number = 1; Number <= 3; ++Number)
    Fleet[Number].Holder.warm(TestTeam);
  Fleet.rounds(20);
  for (int Second = 0; Second < 300; ++Second) {
    for (auto &Host : Fleet.Hosts)
      ServeOn(*Host);
    Fleet.round(Step);
  }
  int Refused = 0;
  for (int Second = 0; Second < 600; ++Second) {
    Fleet.Now += Step;
    for (auto &Host : Fleet.Hosts) {
      Refused += !ServeOn(*Host);
      Host->Holder.planGrants(Fleet.Now);
      Fleet.deliverNotes(*Host);
    }
  }
  CHECK(Refused == 0);
  Fleet.rounds(10);
  auto View = Fleet.view();
  CHECK(View.Settled >= 1'800 * Spent);
  CHECK(View.Settled <= 3 * 900 * Spent);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 4: a settlement never exceeds its reservation") {
  LedgerFleet Fleet(2);
  Fleet.topUp(1'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  CHECK(Fleet.settle(Fleet[1], Id.value(), 5'000));
  CHECK(Fleet[1].Holder.counters().Overruns == 1);
  Fleet.rounds(3);
  CHECK(Fleet.view().Settled == 100);
  // Tokens that were reserved but not spent can be reserved again.
  auto Next = Fleet.reserveSoon(Fleet[1], 2, 900);
  REQUIRE(Next);
  CHECK(Fleet.settle(Fleet[1], Next.value(), 10));
  CHECK(Fleet.reserveSoon(Fleet[1], 3, 890));
  CHECK(Fleet.reserve(Fleet[1], 4, 2'000).error() ==
        LedgerError::BudgetExhausted);
}

TEST_CASE("hazard 5: a fragmented budget is collected for one request") {
  LedgerFleet Fleet(3);
  Fleet.topUp(900);
  for (std::uint64_t Number = 1; Number <= 3; ++Number) {
    auto Id = Fleet.reserveSoon(Fleet[Number], Number, 250);
    REQUIRE(Id);
    CHECK(Fleet[Number].Holder.release(Id.value(), Fleet.Now));
  }
  auto Whole = Fleet.reserveSoon(Fleet[2], 10, 900);
  REQUIRE(Whole);
  CHECK(Fleet.settle(Fleet[2], Whole.value(), 900));
  Fleet.rounds(3);
  CHECK(Fleet.view().Settled == 900);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 5: competing demands for a fragmented budget make progress") {
  LedgerFleet Fleet(3);
  Fleet.topUp(600);
  int Served = 0;
  for (int Round = 0; Round < 200; ++Round) {
    for (std::uint64_t Number = 1; Number <= 3; ++Number) {
      // Each host repeatedly requests most of the budget.
      auto Id = Fleet.reserve(Fleet[Number], 100 * Number, 500);
      if (!Id)
        continue;
      ++Served;
      CHECK(Fleet[Number].Holder.release(Id.value(), Fleet.Now));
    }
    Fleet.round();
  }
  CHECK(Served >= 3);
  CHECK(Fleet.view().ToppedUp == 600);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 6: top-ups during a network partition") {
  LedgerFleet Fleet(3);
  Fleet.topUp(300);
  REQUIRE(Fleet.reserveSoon(Fleet[1], 1, 50));
  REQUIRE(Fleet.reserveSoon(Fleet[3], 2, 50));
  // Host 3 is isolated from the log and from its peers.
  auto Isolated = std::move(Fleet.Hosts.back());
  Fleet.Hosts.pop_back();
  Fleet.topUp(5'000, 77);
  Fleet.topUp(5'000, 77); // The operator's tool retries after a lost response.
  Fleet.rounds(5);
  CHECK(Fleet.view().ToppedUp == 5'300);
  CHECK(Fleet.reserveSoon(Fleet[1], 3, 2'000));
  // The isolated host spends only what it holds.
  TokenCount Spent = 0;
  for (std::uint64_t Request = 100; Request < 200; ++Request)
    if (auto Id = Fleet.reserve(*Isolated, Request, 10)) {
      CHECK(Fleet.settle(*Isolated, Id.value(), 10));
      Spent += 10;
    }
  CHECK(Spent <= 300);
  Fleet.Hosts.push_back(std::move(Isolated));
  Fleet.rounds(10);
  auto View = Fleet.view();
  CHECK(View.Settled == Spent);
  CHECK(View.ToppedUp == 5'300);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 7: two attempts of one request are billed once") {
  LedgerFleet Fleet(3);
  Fleet.topUp(100'000);
  auto First = Fleet.reserveSoon(Fleet[1], 1, 100);
  auto Second = Fleet.reserveSoon(Fleet[2], 1, 100);
  REQUIRE(First);
  REQUIRE(Second);
  CHECK(Fleet.reserve(Fleet[1], 1, 100).error() ==
        LedgerError::AlreadyReserved);
  CHECK(Fleet.settle(Fleet[2], Second.value(), 70));
  CHECK(Fleet.settle(Fleet[1], First.value(), 90));
  auto Before = Fleet[2].Holder.slice(TestTeam);
  Fleet.flushQueue(Fleet[1]);
  Fleet.rounds(5);
  CHECK(Fleet.view().Settled == 90);
  // The tokens of the attempt that was not billed are back in its slice.
  auto After = Fleet[2].Holder.slice(TestTeam);
  CHECK(After.Settling == 0);
  CHECK(After.Available >= Before.Available + 70);
  CHECK(Fleet[2].Holder.counters().SecondBills == 1);
  CHECK(Fleet.reserve(Fleet[3], 1, 100).error() == LedgerError::AlreadyBilled);
  CHECK(Fleet.IsConsistent);
}

TEST_CASE("hazard 8: the witness bills pending settlements of a dead host") {
  LedgerFleet Fleet(3);
  Fleet.topUp(100'000);
  auto Id = Fleet.reserveSoon(Fleet[1], 1, 100);
  REQUIRE(Id);
  CHECK(Fleet.settle(Fleet[1], Id.value(), 60));
  Fleet.deliverNotes(Fleet[1]);
  std::vector<StreamRecord> Waiting(Fleet[1].Queue.begin(),
                                    Fleet[1].Queue.end());
  Fleet[1].Queue.clear();
  markDead(Fleet, Fleet[1]);
  Fleet.rounds(5);
  CHECK(Fleet.view().Settled == 60);
  // The dead host's own records, delayed in the network, have no effect.
  for (const auto &Record : Waiting)
    Fleet.Log.push_back(Record);
  for (int Round = 0; Round < 3; ++Round)
    Fleet.round(std::chrono::seconds(11));
  auto View = Fleet.view();
  CHECK(View.Settled == 60);
  CHECK(spendable(View) > 90'000);
  CHECK(Fleet[2].WitnessRole.noteCount() == 0);
  CHECK(Fleet.IsConsistent);
}
