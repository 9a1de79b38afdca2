#include "WalletFleet.h"

namespace bergamothook {

void WalletFleet::reserve(FakeProcess &Of) {
  Tokens Amount = static_cast<Tokens>(1 + this->Dice.below(this->Largest));
  auto Verdict = Of.Purses.reserve("team", Amount, this->Now);
  if (Verdict) {
    ++this->Granted;
    Of.Open.push_back(Amount);
    Of.Reserved += Amount;
  } else if (Verdict.error() == WalletError::NotInHand &&
             this->Dice.below(2) == 0) {
    Of.Purses.abandon("team", Amount);
  }
}

void WalletFleet::settle(FakeProcess &Of) {
  if (Of.Open.empty())
    return;
  Tokens Reserved = Of.Open.front();
  Of.Open.pop_front();
  Tokens Spent = static_cast<Tokens>(
      this->Dice.below(static_cast<std::uint64_t>(Reserved) + 1));
  Of.Purses.settle("team", Reserved, Spent, this->Now);
  Of.Reserved -= Reserved;
  Of.Spent += Spent;
}

void WalletFleet::round(FakeProcess &Of, bool IsLogWell) {
  if (IsLogWell || this->Dice.below(4) != 0)
    Of.Purses.onRead(this->Log.readFrom(Of.Purses.shareTable().end()),
                     this->Log.end(), this->Now);
  if (!Of.Purses.isReady())
    return;
  auto Records = Of.Purses.planRound(this->Now);
  if (Records.empty())
    return;
  std::uint64_t At = Of.Purses.shareTable().end();
  switch (IsLogWell ? 0 : this->Dice.below(6)) {
  case 0:
  case 1:
    if (this->Log.appendAt(At, Records))
      Of.Purses.onAppended(this->Log.end(), this->Now);
    else
      Of.Purses.onRefused();
    return;
  case 2: // Done, and the answer is lost.
    this->Log.appendAt(At, Records);
    Of.Purses.onUnanswered();
    return;
  case 3: // The answer is lost, and the append may land seconds later.
    this->Late.push_back({At, Records});
    Of.Purses.onUnanswered();
    return;
  case 4: // Never done.
    Of.Purses.onUnanswered();
    return;
  default:
    Of.Purses.onRefused();
    return;
  }
}

void WalletFleet::landLate() {
  if (this->Late.empty())
    return;
  std::size_t Which = this->Dice.below(this->Late.size());
  this->Log.appendAt(this->Late[Which].At, this->Late[Which].Records);
  this->Late.erase(this->Late.begin() + static_cast<std::ptrdiff_t>(Which));
}

void WalletFleet::step() {
  // Now and then nothing happens for so long that the tokens in hand are too
  // many, and some go back.
  this->Now += std::chrono::milliseconds(
      this->Dice.below(this->Dice.below(40) == 0 ? 30'000 : 200));
  FakeProcess &Of = *this->Processes[this->Dice.below(this->Processes.size())];
  if (Of.IsDead)
    return;
  switch (this->Dice.below(32)) {
  case 0:
    Of.IsDead = this->Processes.size() < 12;
    if (Of.IsDead)
      this->start();
    return;
  case 1:
    this->Budget += static_cast<Tokens>(this->Dice.below(50'000));
    Of.Purses.setBudget("team", this->Budget);
    return;
  case 2: // Its records are gone; it reads everything anew.
    Of.Purses.clearShareTable();
    Of.Purses.onRead(this->Log.readFrom(0), this->Log.end(), this->Now);
    return;
  case 3:
  case 4:
    this->landLate();
    return;
  default:
    break;
  }
  switch (this->Dice.below(4)) {
  case 0:
    this->round(Of, false);
    return;
  case 1:
    this->settle(Of);
    return;
  default:
    this->reserve(Of);
    return;
  }
}

void WalletFleet::calm(int Rounds) {
  this->Late.clear();
  for (auto &Each : this->Processes)
    Each->Purses.setBudget("team", this->Budget);
  for (auto &Each : this->Processes)
    Each->Purses.abandon("team", this->Budget); // No request waits any more.
  for (auto &Each : this->Processes)
    while (!Each->IsDead && !Each->Open.empty())
      this->settle(*Each);
  for (int I = 0; I < Rounds; ++I)
    this->runRounds();
}

void WalletFleet::runRounds() {
  this->Now += std::chrono::seconds(1);
  for (auto &Each : this->Processes)
    if (!Each->IsDead)
      this->round(*Each, true);
}

void runWalletRound(Wallet &Of, FakeWalletLog &Log, TimePoint Now) {
  Of.onRead(Log.readFrom(Of.shareTable().end()), Log.end(), Now);
  auto Records = Of.planRound(Now);
  if (!Records.empty() && Log.appendAt(Of.shareTable().end(), Records))
    Of.onAppended(Log.end(), Now);
}

SteadyLoad::SteadyLoad(int Count, Tokens Budget) {
  for (int I = 0; I < Count; ++I) {
    this->Hosts.push_back(
        std::make_unique<Wallet>("host-" + std::to_string(I), WalletPolicy{}));
    this->Hosts.back()->setBudget("team", Budget);
    this->Hosts.back()->setHolders(true, static_cast<std::size_t>(Count));
  }
}

void SteadyLoad::run(Duration Span, bool IsLogWell) {
  constexpr Tokens Request = 200;
  Wallet &Busy = *this->Hosts.front();
  for (TimePoint End = this->Now + Span; this->Now < End;
       this->Now += std::chrono::milliseconds(100)) {
    for (const auto &Each : this->Hosts)
      if (IsLogWell && Each->isRoundDue(this->Now))
        runWalletRound(*Each, this->Log, this->Now);
    if (Busy.reserve("team", Request, this->Now))
      Busy.settle("team", Request, Request, this->Now);
    else
      ++this->Refused;
  }
}

Tokens SteadyLoad::spent() const {
  return this->Hosts.front()->view("team").Spent;
}

Tokens SteadyLoad::heldOnLog() const {
  Wallet Reader("reader", {});
  Reader.setBudget("team", 1); // A team without a budget has no view.
  Reader.onRead(this->Log.readFrom(0), this->Log.end(), this->Now);
  return Reader.view("team").Others.Held;
}

} // namespace bergamothook
