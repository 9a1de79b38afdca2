#include "WalletFleet.h"

namespace bergamothook {

void WalletFleet::reserve(FakeProcess &Process) {
  Tokens Amount = static_cast<Tokens>(1 + this->Rng.below(this->MaxRequest));
  auto Reservation = Process.ProcessWallet.reserve("team", Amount, this->Now);
  if (Reservation) {
    ++this->Granted;
    Process.OpenReservations.push_back(Amount);
    Process.Reserved += Amount;
  } else if (Reservation.error() == WalletError::NotInHand &&
             this->Rng.below(2) == 0) {
    Process.ProcessWallet.abandon("team", Amount);
  }
}

void WalletFleet::settle(FakeProcess &Process) {
  if (Process.OpenReservations.empty())
    return;
  Tokens Reserved = Process.OpenReservations.front();
  Process.OpenReservations.pop_front();
  Tokens Spent = static_cast<Tokens>(
      this->Rng.below(static_cast<std::uint64_t>(Reserved) + 1));
  Process.ProcessWallet.settle("team", Reserved, Spent, this->Now);
  Process.Reserved -= Reserved;
  Process.Spent += Spent;
}

void WalletFleet::read(FakeProcess &Process) {
  Wallet &Reader = Process.ProcessWallet;
  if (Reader.era() != this->Log.era())
    Reader.beginEra(this->Log.era());
  Reader.onRead(this->Log.readFrom(Reader.shareTable().end()), this->Log.end(),
                this->Now);
}

void WalletFleet::runRound(FakeProcess &Process, bool IsLogAvailable) {
  if (IsLogAvailable || this->Rng.below(4) != 0)
    this->read(Process);
  if (!Process.ProcessWallet.isReady())
    return;
  auto Records = Process.ProcessWallet.planRound(this->Now);
  if (Records.empty())
    return;
  std::uint64_t ExpectedEnd = Process.ProcessWallet.shareTable().end();
  switch (IsLogAvailable ? 0 : this->Rng.below(6)) {
  case 0:
  case 1:
    if (this->Log.appendAt(ExpectedEnd, Records))
      Process.ProcessWallet.onAppended(this->Log.end(), this->Now);
    else
      Process.ProcessWallet.onRefused();
    return;
  case 2: // Appended, but the answer is lost.
    this->Log.appendAt(ExpectedEnd, Records);
    Process.ProcessWallet.onUnanswered();
    return;
  case 3: // The answer is lost, and the append may take effect seconds later.
    this->DelayedAppends.push_back({ExpectedEnd, Records});
    Process.ProcessWallet.onUnanswered();
    return;
  case 4: // Never appended.
    Process.ProcessWallet.onUnanswered();
    return;
  default:
    Process.ProcessWallet.onRefused();
    return;
  }
}

void WalletFleet::applyDelayedAppend() {
  if (this->DelayedAppends.empty())
    return;
  std::size_t Index = this->Rng.below(this->DelayedAppends.size());
  this->Log.appendAt(this->DelayedAppends[Index].ExpectedEnd,
                     this->DelayedAppends[Index].Records);
  this->DelayedAppends.erase(this->DelayedAppends.begin() +
                             static_cast<std::ptrdiff_t>(Index));
}

void WalletFleet::step() {
  // Occasional long pauses let the spending rate drop, so that wallets return
  // idle tokens.
  this->Now += std::chrono::milliseconds(
      this->Rng.below(this->Rng.below(40) == 0 ? 30'000 : 200));
  FakeProcess &Process =
      *this->Processes[this->Rng.below(this->Processes.size())];
  if (Process.IsDead)
    return;
  switch (this->Rng.below(32)) {
  case 0:
    Process.IsDead = this->HasDeaths && this->Processes.size() < 12;
    if (Process.IsDead)
      this->start();
    return;
  case 1:
    this->Budget += static_cast<Tokens>(this->Rng.below(50'000));
    Process.ProcessWallet.setBudget("team", this->Budget);
    return;
  case 2: // The records it needs were dropped, so it reads the log from the
          // start.
    Process.ProcessWallet.rewind();
    Process.ProcessWallet.onRead(this->Log.readFrom(0), this->Log.end(),
                                 this->Now);
    return;
  case 3:
  case 4:
    this->applyDelayedAppend();
    return;
  default:
    break;
  }
  switch (this->Rng.below(4)) {
  case 0:
    this->runRound(Process, false);
    return;
  case 1:
    this->settle(Process);
    return;
  default:
    this->reserve(Process);
    return;
  }
}

void WalletFleet::quiesce(int Rounds) {
  this->DelayedAppends.clear();
  for (auto &Each : this->Processes)
    Each->ProcessWallet.setBudget("team", this->Budget);
  for (auto &Each : this->Processes)
    // Clears all pending demand.
    Each->ProcessWallet.abandon("team", this->Budget);
  for (auto &Each : this->Processes)
    while (!Each->IsDead && !Each->OpenReservations.empty())
      this->settle(*Each);
  for (int I = 0; I < Rounds; ++I)
    this->runRounds();
}

void WalletFleet::runRounds(Duration After) {
  this->Now += After;
  for (auto &Each : this->Processes)
    if (!Each->IsDead)
      this->runRound(*Each, true);
}

void runWalletRound(Wallet &Appender, FakeWalletLog &Log, TimePoint Now) {
  Appender.onRead(Log.readFrom(Appender.shareTable().end()), Log.end(), Now);
  auto Records = Appender.planRound(Now);
  if (!Records.empty() && Log.appendAt(Appender.shareTable().end(), Records))
    Appender.onAppended(Log.end(), Now);
}

SteadyLoad::SteadyLoad(int Count, Tokens Budget) {
  for (int I = 0; I < Count; ++I) {
    this->Hosts.push_back(
        std::make_unique<Wallet>("host-" + std::to_string(I), WalletPolicy{}));
    this->Hosts.back()->setBudget("team", Budget);
    this->Hosts.back()->setHolders(true, static_cast<std::size_t>(Count));
  }
}

void SteadyLoad::run(Duration Span, bool IsLogAvailable) {
  constexpr Tokens Request = 200;
  Wallet &Busy = *this->Hosts.front();
  for (TimePoint End = this->Now + Span; this->Now < End;
       this->Now += std::chrono::milliseconds(100)) {
    for (const auto &Each : this->Hosts)
      if (IsLogAvailable && Each->isRoundDue(this->Now))
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
  Reader.setBudget("team", 1); // view() is empty for an unknown team.
  Reader.onRead(this->Log.readFrom(0), this->Log.end(), this->Now);
  return Reader.view("team").Others.Held;
}

} // namespace bergamothook
