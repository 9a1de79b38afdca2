#include "TokenFleet.h"

#include "LibObserve/StructuredLog.h"

namespace bergamothook {

namespace {

constexpr const char *FleetKey =
    R"({"signWith": 0, "keys": {"0": "00112233445566778899aabbccddeeff)"
    R"(00112233445566778899aabbccddeeff"}})";
constexpr Duration LogDelay = std::chrono::milliseconds(2);
/// How long a call waits for a response.
constexpr Duration LogTimeout = std::chrono::milliseconds(300);
constexpr Duration MaxLateness = std::chrono::seconds(3);

} // namespace

TokenFleet::Process::Process(TokenFleet &Fleet, int Host, std::uint64_t Run)
    : Host(Host),
      Broker(Fleet.entryOf(Host, Run), "process-" + std::to_string(Run), {},
             Fleet.hooksOf(Host, Fleet.Processes.size()), Fleet.Measured, Run) {
}

TokenFleet::TokenFleet(TokenFleetSettings InitialSettings, std::uint64_t Seed)
    : Rng(Seed), Budget(InitialSettings.Budget), Settings(InitialSettings),
      Log(InitialSettings.Partitions) {
  startLogging("test", "test", LogLevel::Error);
  this->NewestProcess.resize(static_cast<std::size_t>(this->Settings.Hosts));
  for (int Host = 0; Host < this->Settings.Hosts; ++Host)
    this->start(Host);
  this->Simulation.runFor(std::chrono::seconds(4));
}

TokenFleet::~TokenFleet() {
  // Tasks must end before the runtime does.
  for (auto &Each : this->Processes) {
    TokenBroker &Broker = Each->Broker;
    this->Simulation.hooks().Spawn([this, &Broker] {
      Broker.stop(this->Simulation.now(), this->Simulation.now());
    });
  }
  this->Simulation.runFor(std::chrono::seconds(10));
}

RosterHost TokenFleet::entryOf(int Host, std::uint64_t Run) const {
  std::string Number = std::to_string(Host);
  return {"host-" + Number,
          "domain-" + std::to_string(Host % this->Settings.FailureDomains),
          Number, Run};
}

void TokenFleet::start(int Host) {
  std::uint64_t Run = this->Processes.size() + 1;
  auto NewProcess = std::make_unique<Process>(*this, Host, Run);
  this->NewestProcess[static_cast<std::size_t>(Host)] = this->Processes.size();
  this->Processes.push_back(std::move(NewProcess));
  TokenBroker &Broker = this->Processes.back()->Broker;
  for (int Team = 0; Team < this->Settings.Teams; ++Team)
    Broker.setBudget(this->teamOf(Team), this->Budget);
  Broker.begin({KeyRing::parse(FleetKey).value(), this->Settings.Partitions});
  this->Simulation.hooks().Spawn([&Broker] { Broker.run(); });
  // All hosts get the same host list.
  for (auto &Each : this->Processes)
    Each->Broker.roster().put(this->entryOf(Host, Run));
  for (int Other = 0; Other < Host; ++Other)
    Broker.roster().put(this->broker(Other).roster().self());
  for (int Other = Host + 1; Other < this->Settings.Hosts; ++Other)
    if (this->NewestProcess[static_cast<std::size_t>(Other)] > 0)
      Broker.roster().put(this->broker(Other).roster().self());
}

TokenBroker &TokenFleet::broker(int Host) {
  return this->Processes[this->NewestProcess[static_cast<std::size_t>(Host)]]
      ->Broker;
}

bool TokenFleet::isAlive(int Host) const {
  return this->Processes[this->NewestProcess[static_cast<std::size_t>(Host)]]
      ->IsAlive;
}

void TokenFleet::kill(int Host) {
  this->Processes[this->NewestProcess[static_cast<std::size_t>(Host)]]
      ->IsAlive = false;
}

void TokenFleet::restart(int Host) {
  this->kill(Host);
  this->start(Host);
}

void TokenFleet::stop(int Host) {
  TokenBroker &Broker = this->broker(Host);
  this->Simulation.hooks().Spawn([this, &Broker] {
    TimePoint Now = this->Simulation.now();
    Broker.stop(Now + std::chrono::seconds(3), Now + std::chrono::seconds(4));
  });
}

void TokenFleet::setIsolated(int Host, bool IsIsolated) {
  if (IsIsolated)
    this->IsolatedHosts.insert(Host);
  else
    this->IsolatedHosts.erase(Host);
}

void TokenFleet::setLogUnreachable(int Host, bool IsUnreachable) {
  if (IsUnreachable)
    this->LogUnreachableHosts.insert(Host);
  else
    this->LogUnreachableHosts.erase(Host);
}

void TokenFleet::setBudget(Tokens NewBudget) {
  this->Budget = NewBudget;
  for (auto &Each : this->Processes)
    for (int Team = 0; Team < this->Settings.Teams; ++Team)
      Each->Broker.setBudget(this->teamOf(Team), NewBudget);
}

TokenHooks TokenFleet::hooksOf(int Host, std::size_t Index) {
  TokenHooks Hooks;
  Hooks.Tasks = this->Simulation.hooks();
  Hooks.MakeLog = [this, Host, Index](unsigned PartitionIndex) {
    return this->logOf(Host, Index, PartitionIndex);
  };
  Hooks.SendDatagram = [this, Host, Index](const std::string &Address,
                                           const std::string &Bytes) {
    ++this->Messages;
    bool IsIsolated = this->IsolatedHosts.contains(Host) ||
                      this->IsolatedHosts.contains(std::stoi(Address));
    if (!this->Processes[Index]->IsAlive || IsIsolated ||
        this->Rng.below(1000) < this->Settings.LostPerMille)
      return;
    this->deliver(Address, Bytes);
    if (this->Rng.below(1000) < this->Settings.DuplicatedPerMille)
      this->deliver(Address, Bytes);
  };
  return Hooks;
}

void TokenFleet::deliver(const std::string &Address, const std::string &Bytes) {
  auto Spread = static_cast<std::uint64_t>(
      (this->Settings.MaxDelay - this->Settings.MinDelay).count());
  Duration Delay =
      this->Settings.MinDelay +
      Duration(static_cast<Duration::rep>(this->Rng.below(Spread + 1)));
  this->Simulation.hooks().Spawn([this, Address, Bytes, Delay] {
    this->Simulation.hooks().sleepUntil(this->Simulation.now() + Delay);
    int Host = std::stoi(Address);
    if (this->isAlive(Host) && !this->IsolatedHosts.contains(Host))
      this->broker(Host).received(Bytes);
  });
}

bool TokenFleet::reachesLog(int Host, std::size_t Index) const {
  return this->Processes[Index]->IsAlive && !this->IsLogUnavailable &&
         !this->LogUnreachableHosts.contains(Host) &&
         !this->IsolatedHosts.contains(Host);
}

WalletLog TokenFleet::logOf(int Host, std::size_t Index,
                            unsigned PartitionIndex) {
  auto Sleep = [this](Duration Span) {
    this->Simulation.hooks().sleepUntil(this->Simulation.now() + Span);
  };
  auto Read = [=, this](std::uint64_t From) -> Result<WalletPage> {
    ++this->Reads;
    Sleep(LogDelay);
    if (!this->reachesLog(Host, Index)) {
      Sleep(LogTimeout);
      return std::make_error_code(std::errc::timed_out);
    }
    const auto &Records = this->Log[PartitionIndex].Records;
    if (From > Records.size())
      return std::make_error_code(std::errc::result_out_of_range);
    return WalletPage{
        {Records.begin() + static_cast<std::ptrdiff_t>(From), Records.end()},
        Records.size(),
        this->Era};
  };
  WalletLog Operations;
  Operations.Read = Read;
  Operations.ReadNewest = [Read] { return Read(0); };
  Operations.AppendAt = [=, this](std::uint64_t At,
                                  const std::vector<WalletRecord> &Records) {
    ++this->Appends;
    Sleep(LogDelay);
    if (!this->reachesLog(Host, Index)) {
      Sleep(LogTimeout);
      return WalletAppend::Unanswered;
    }
    return this->append(this->Log[PartitionIndex], At, Records);
  };
  return Operations;
}

WalletAppend TokenFleet::append(Partition &Destination, std::uint64_t At,
                                std::vector<WalletRecord> Records) {
  TimePoint Now = this->Simulation.now();
  Destination.BusyUntil =
      std::max(Destination.BusyUntil, Now) + this->Settings.AppendTime;
  this->Simulation.hooks().sleepUntil(Destination.BusyUntil);
  auto Apply = [this, &Destination, At, Records]() mutable {
    if (At != Destination.Records.size()) {
      ++this->RejectedAppends;
      return false;
    }
    for (WalletRecord &Record : Records) {
      Record.Offset = Destination.Records.size();
      Destination.Records.push_back(Record);
      Destination.Times.push_back(this->Simulation.now());
    }
    return true;
  };
  if (this->Rng.below(1000) >= this->Settings.UnansweredPerMille) {
    if (!Apply())
      return WalletAppend::Moved;
    return Records.front().Share.Era == this->Era ? WalletAppend::Done
                                                  : WalletAppend::OtherEra;
  }
  if (this->Rng.below(2) == 0) {
    Apply();
  } else {
    auto Lateness = Duration(static_cast<Duration::rep>(
        this->Rng.below(static_cast<std::uint64_t>(MaxLateness.count()))));
    this->Simulation.hooks().Spawn([this, Apply, Lateness]() mutable {
      this->Simulation.hooks().sleepUntil(this->Simulation.now() + Lateness);
      Apply();
    });
  }
  this->Simulation.hooks().sleepUntil(this->Simulation.now() + LogTimeout);
  return WalletAppend::Unanswered;
}

void TokenFleet::setLogUnavailable(bool IsUnavailable) {
  this->IsLogUnavailable = IsUnavailable;
  for (const auto &Each : this->Processes)
    if (Each->IsAlive)
      Each->Broker.setLogReachable(!IsUnavailable);
}

void TokenFleet::restoreLog(Duration Age) {
  TimePoint Since = this->Simulation.now() - Age;
  ++this->Era;
  for (Partition &Restored : this->Log)
    while (!Restored.Times.empty() && Restored.Times.back() > Since) {
      Restored.Times.pop_back();
      Restored.Records.pop_back();
    }
}

void TokenFleet::request(int Host, const std::string &Team, Tokens Amount,
                         Tokens SpentAmount, Duration Span) {
  std::size_t Index = this->NewestProcess[static_cast<std::size_t>(Host)];
  ++this->Results.Requested;
  this->Simulation.hooks().Spawn([=, this] {
    TokenBroker &Broker = this->Processes[Index]->Broker;
    TimePoint Begin = this->Simulation.now();
    auto Reservation = Broker.reserve(
        Team, Amount, Begin + std::chrono::seconds(5), [] { return false; });
    this->Results.MaxWait = std::max<Duration>(this->Results.MaxWait,
                                               this->Simulation.now() - Begin);
    if (!Reservation) {
      if (Reservation.error() == WalletError::Exhausted)
        ++this->Results.Exhausted;
      else
        ++this->Results.NotInHand;
      return;
    }
    ++this->Results.Granted;
    // A dead process starts nothing more, but what it had started may still
    // spend tokens.
    if (!this->Processes[Index]->IsAlive)
      return;
    this->Spent[Team] += Amount;
    this->Simulation.hooks().sleepUntil(this->Simulation.now() + Span);
    if (!this->Processes[Index]->IsAlive)
      return;
    this->Spent[Team] -= Amount - SpentAmount;
    Broker.settle(Reservation.value(), SpentAmount);
  });
}

void TokenFleet::load(double Rate, Tokens Amount, Duration Span) {
  TimePoint End = this->Simulation.now() + Span;
  auto RequestInterval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Rate));
  while (this->Simulation.now() < End) {
    int Host = static_cast<int>(
        this->Rng.below(static_cast<std::uint64_t>(this->Settings.Hosts)));
    int Team = static_cast<int>(
        this->Rng.below(static_cast<std::uint64_t>(this->Settings.Teams)));
    if (this->isAlive(Host))
      this->request(Host, this->teamOf(Team), Amount, Amount * 3 / 4,
                    std::chrono::milliseconds(300));
    this->Simulation.runFor(RequestInterval);
  }
}

Tokens TokenFleet::committed(const std::string &Team) const {
  auto Found = this->Spent.find(Team);
  return Found == this->Spent.end() ? 0 : Found->second;
}

Tokens TokenFleet::heldOnLog(const std::string &Team) const {
  WalletShareTable Table;
  for (const Partition &Each : this->Log)
    for (const WalletRecord &Record : Each.Records)
      Table.apply(Record, TimePoint{});
  return Table.sumOfOthers(Team, "").Held;
}

} // namespace bergamothook
