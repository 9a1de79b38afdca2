#include "TokenFleet.h"

#include "LibObserve/StructuredLog.h"

namespace bergamothook {

namespace {

constexpr const char *FleetKey =
    R"({"signWith": 0, "keys": {"0": "00112233445566778899aabbccddeeff)"
    R"(00112233445566778899aabbccddeeff"}})";
constexpr Duration LogDelay = std::chrono::milliseconds(2);
/// How long a call waits for an answer that does not come.
constexpr Duration LogTimeout = std::chrono::milliseconds(300);
constexpr Duration LongestLateness = std::chrono::seconds(3);

} // namespace

TokenFleet::Process::Process(TokenFleet &Fleet, int Host, std::uint64_t Run)
    : Host(Host),
      Desk(Fleet.entryOf(Host, Run), "process-" + std::to_string(Run), {},
           Fleet.hooksOf(Host, Fleet.Processes.size()), Fleet.Measured, Run) {}

TokenFleet::TokenFleet(TokenFleetSettings Chosen, std::uint64_t Seed)
    : Dice(Seed), Budget(Chosen.Budget), Settings(Chosen),
      Log(Chosen.Partitions) {
  startLogging("test", "test", LogLevel::Error);
  this->Newest.resize(static_cast<std::size_t>(this->Settings.Hosts));
  for (int Host = 0; Host < this->Settings.Hosts; ++Host)
    this->start(Host);
  this->Simulated.runFor(std::chrono::seconds(4));
}

TokenFleet::~TokenFleet() {
  // Tasks must end before the runtime does.
  for (auto &Each : this->Processes) {
    TokenBroker &Desk = Each->Desk;
    this->Simulated.hooks().Spawn([this, &Desk] {
      Desk.stop(this->Simulated.now(), this->Simulated.now());
    });
  }
  this->Simulated.runFor(std::chrono::seconds(10));
}

RosterHost TokenFleet::entryOf(int Host, std::uint64_t Run) const {
  std::string Number = std::to_string(Host);
  return {"host-" + Number,
          "domain-" + std::to_string(Host % this->Settings.FailureDomains),
          Number, Run};
}

void TokenFleet::start(int Host) {
  std::uint64_t Run = this->Processes.size() + 1;
  auto Made = std::make_unique<Process>(*this, Host, Run);
  this->Newest[static_cast<std::size_t>(Host)] = this->Processes.size();
  this->Processes.push_back(std::move(Made));
  TokenBroker &Desk = this->Processes.back()->Desk;
  for (int Team = 0; Team < this->Settings.Teams; ++Team)
    Desk.setBudget(this->teamOf(Team), this->Budget);
  Desk.begin({KeyRing::parse(FleetKey).value(), this->Settings.Partitions});
  this->Simulated.hooks().Spawn([&Desk] { Desk.run(); });
  // All hosts read the same list.
  for (auto &Each : this->Processes)
    Each->Desk.roster().put(this->entryOf(Host, Run));
  for (int Other = 0; Other < Host; ++Other)
    Desk.roster().put(this->desk(Other).roster().self());
  for (int Other = Host + 1; Other < this->Settings.Hosts; ++Other)
    if (this->Newest[static_cast<std::size_t>(Other)] > 0)
      Desk.roster().put(this->desk(Other).roster().self());
}

TokenBroker &TokenFleet::desk(int Host) {
  return this->Processes[this->Newest[static_cast<std::size_t>(Host)]]->Desk;
}

bool TokenFleet::isAlive(int Host) const {
  return this->Processes[this->Newest[static_cast<std::size_t>(Host)]]->IsAlive;
}

void TokenFleet::kill(int Host) {
  this->Processes[this->Newest[static_cast<std::size_t>(Host)]]->IsAlive =
      false;
}

void TokenFleet::restart(int Host) {
  this->kill(Host);
  this->start(Host);
}

void TokenFleet::stop(int Host) {
  TokenBroker &Desk = this->desk(Host);
  this->Simulated.hooks().Spawn([this, &Desk] {
    TimePoint Now = this->Simulated.now();
    Desk.stop(Now + std::chrono::seconds(3), Now + std::chrono::seconds(4));
  });
}

void TokenFleet::setCut(int Host, bool IsCut) {
  if (IsCut)
    this->Cut.insert(Host);
  else
    this->Cut.erase(Host);
}

void TokenFleet::setLogCut(int Host, bool IsCut) {
  if (IsCut)
    this->LogCut.insert(Host);
  else
    this->LogCut.erase(Host);
}

void TokenFleet::setBudget(Tokens Raised) {
  this->Budget = Raised;
  for (auto &Each : this->Processes)
    for (int Team = 0; Team < this->Settings.Teams; ++Team)
      Each->Desk.setBudget(this->teamOf(Team), Raised);
}

TokenHooks TokenFleet::hooksOf(int Host, std::size_t Index) {
  TokenHooks Hooks;
  Hooks.Tasks = this->Simulated.hooks();
  Hooks.MakeLog = [this, Host, Index](unsigned Part) {
    return this->logOf(Host, Index, Part);
  };
  Hooks.SendDatagram = [this, Host, Index](const std::string &Address,
                                           const std::string &Bytes) {
    ++this->Messages;
    bool IsCut =
        this->Cut.contains(Host) || this->Cut.contains(std::stoi(Address));
    if (!this->Processes[Index]->IsAlive || IsCut ||
        this->Dice.below(1000) < this->Settings.Lost)
      return;
    this->deliver(Address, Bytes);
    if (this->Dice.below(1000) < this->Settings.Doubled)
      this->deliver(Address, Bytes);
  };
  return Hooks;
}

void TokenFleet::deliver(const std::string &Address, const std::string &Bytes) {
  auto Spread = static_cast<std::uint64_t>(
      (this->Settings.LongestDelay - this->Settings.Delay).count());
  Duration Delay =
      this->Settings.Delay +
      Duration(static_cast<Duration::rep>(this->Dice.below(Spread + 1)));
  this->Simulated.hooks().Spawn([this, Address, Bytes, Delay] {
    this->Simulated.hooks().sleepUntil(this->Simulated.now() + Delay);
    int Host = std::stoi(Address);
    if (this->isAlive(Host) && !this->Cut.contains(Host))
      this->desk(Host).received(Bytes);
  });
}

bool TokenFleet::reachesLog(int Host, std::size_t Index) const {
  return this->Processes[Index]->IsAlive && !this->IsLogDown &&
         !this->LogCut.contains(Host) && !this->Cut.contains(Host);
}

WalletLog TokenFleet::logOf(int Host, std::size_t Index, unsigned Part) {
  auto Pause = [this](Duration Span) {
    this->Simulated.hooks().sleepUntil(this->Simulated.now() + Span);
  };
  auto Read = [=, this](std::uint64_t From) -> Result<WalletPage> {
    ++this->Reads;
    Pause(LogDelay);
    if (!this->reachesLog(Host, Index)) {
      Pause(LogTimeout);
      return std::make_error_code(std::errc::timed_out);
    }
    const auto &Records = this->Log[Part].Records;
    return WalletPage{
        {Records.begin() + static_cast<std::ptrdiff_t>(From), Records.end()},
        Records.size()};
  };
  WalletLog Calls;
  Calls.Read = Read;
  Calls.ReadNewest = [Read] { return Read(0); };
  Calls.AppendAt = [=, this](std::uint64_t At,
                             const std::vector<WalletRecord> &Records) {
    ++this->Appends;
    Pause(LogDelay);
    if (!this->reachesLog(Host, Index)) {
      Pause(LogTimeout);
      return WalletAppend::Unanswered;
    }
    return this->append(this->Log[Part], At, Records);
  };
  return Calls;
}

WalletAppend TokenFleet::append(Partition &To, std::uint64_t At,
                                std::vector<WalletRecord> Records) {
  TimePoint Now = this->Simulated.now();
  To.BusyUntil = std::max(To.BusyUntil, Now) + this->Settings.AppendTime;
  this->Simulated.hooks().sleepUntil(To.BusyUntil);
  auto Land = [this, &To, At, Records]() mutable {
    if (At != To.Records.size()) {
      ++this->AppendsMoved;
      return false;
    }
    for (WalletRecord &Record : Records) {
      Record.Offset = To.Records.size();
      To.Records.push_back(Record);
    }
    return true;
  };
  if (this->Dice.below(1000) >= this->Settings.Unanswered)
    return Land() ? WalletAppend::Done : WalletAppend::Moved;
  if (this->Dice.below(2) == 0) {
    Land();
  } else {
    auto Lateness = Duration(static_cast<Duration::rep>(
        this->Dice.below(static_cast<std::uint64_t>(LongestLateness.count()))));
    this->Simulated.hooks().Spawn([this, Land, Lateness]() mutable {
      this->Simulated.hooks().sleepUntil(this->Simulated.now() + Lateness);
      Land();
    });
  }
  this->Simulated.hooks().sleepUntil(this->Simulated.now() + LogTimeout);
  return WalletAppend::Unanswered;
}

void TokenFleet::request(int Host, const std::string &Team, Tokens Amount,
                         Tokens Used, Duration Span) {
  std::size_t Index = this->Newest[static_cast<std::size_t>(Host)];
  ++this->Figures.Asked;
  this->Simulated.hooks().Spawn([=, this] {
    TokenBroker &Desk = this->Processes[Index]->Desk;
    TimePoint Begin = this->Simulated.now();
    auto Hold = Desk.reserve(Team, Amount, Begin + std::chrono::seconds(5),
                             [] { return false; });
    this->Figures.LongestWait = std::max<Duration>(
        this->Figures.LongestWait, this->Simulated.now() - Begin);
    if (!Hold) {
      if (Hold.error() == WalletError::Exhausted)
        ++this->Figures.Exhausted;
      else
        ++this->Figures.NotInHand;
      return;
    }
    ++this->Figures.Granted;
    // A dead process spends nothing more, but what it had begun may go on.
    if (!this->Processes[Index]->IsAlive)
      return;
    this->Spent[Team] += Amount;
    this->Simulated.hooks().sleepUntil(this->Simulated.now() + Span);
    if (!this->Processes[Index]->IsAlive)
      return;
    this->Spent[Team] -= Amount - Used;
    Desk.settle(Hold.value(), Used);
  });
}

void TokenFleet::load(double Rate, Tokens Amount, Duration Span) {
  TimePoint End = this->Simulated.now() + Span;
  auto Pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Rate));
  while (this->Simulated.now() < End) {
    int Host = static_cast<int>(
        this->Dice.below(static_cast<std::uint64_t>(this->Settings.Hosts)));
    int Team = static_cast<int>(
        this->Dice.below(static_cast<std::uint64_t>(this->Settings.Teams)));
    if (this->isAlive(Host))
      this->request(Host, this->teamOf(Team), Amount, Amount * 3 / 4,
                    std::chrono::milliseconds(300));
    this->Simulated.runFor(Pause);
  }
}

Tokens TokenFleet::committed(const std::string &Team) const {
  auto Found = this->Spent.find(Team);
  return Found == this->Spent.end() ? 0 : Found->second;
}

Tokens TokenFleet::heldOnLog(const std::string &Team) const {
  WalletShareTable Book;
  for (const Partition &Each : this->Log)
    for (const WalletRecord &Record : Each.Records)
      Book.apply(Record, TimePoint{});
  return Book.sumOfOthers(Team, "").Held;
}

} // namespace bergamothook
