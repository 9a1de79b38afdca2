#include "LibLoan/TokenDesk.h"

#include "LibObserve/StructuredLog.h"
#include "LibPeer/MessageCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// How often homes, silent hosts and old loans are looked at.
constexpr Duration CareInterval = std::chrono::milliseconds(250);
/// How long an answer may be on its way beyond the lender's own wait.
constexpr Duration AnswerAllowance = std::chrono::milliseconds(60);

} // namespace

TokenDesk::TokenDesk(RosterHost Self, std::string Process, TokenPolicy Policy,
                     TokenHooks Hooks, Metrics &Measured, std::uint64_t Seed)
    : Process(std::move(Process)), Policy(Policy), Hooks(std::move(Hooks)),
      Tasks(this->Hooks.Tasks), Measured(Measured), Seed(Seed),
      Roster(std::move(Self), Policy.Roster), Loans(Policy.Loans),
      Returns(Policy.Returns) {}

void TokenDesk::begin(const FleetFounding &Founding) {
  for (unsigned Part = 0; Part < Founding.Partitions; ++Part)
    this->Wallets.try_emplace(Part, this->Process, this->Policy.Wallets,
                              this->Hooks.MakeLog(Part), this->Tasks);
  for (const auto &[Team, Budget] : this->Budgets)
    this->walletOf(Team)->setBudget(Team, Budget);
  PeerHooks Sending;
  Sending.SendDatagram = [this](HostId To, std::string Bytes) {
    if (const RosterHost *Host = this->Roster.find(To))
      this->Hooks.SendDatagram(Host->Address, std::move(Bytes));
  };
  Sending.Report = [](std::error_code Reason, std::uint64_t Count) {
    logEvent(LogLevel::Warning, "peer_messages_refused",
             {{"reason", Reason.message()}, {"count", Count}});
  };
  this->Peers.emplace(
      Incarnation{this->Roster.self().id(), this->Roster.self().Run},
      Founding.Keys, this->Tasks, std::move(Sending), PeerNodeLimits{},
      this->Seed);
  this->setHandlers();
  this->Peers->start();
  this->updateHomes();
  for (auto &[Part, Desk] : this->Wallets)
    this->Tasks.Spawn([&Desk] { Desk.run(); });
}

void TokenDesk::run() {
  while (!this->IsStopped) {
    TimePoint Now = this->Tasks.Now();
    if (this->hasBegun()) {
      this->updateHomes();
      this->sendDue();
    }
    this->Loans.expire(Now);
    std::erase_if(this->Refusals, [Now](const auto &Each) {
      return Each.second.EndsAt <= Now;
    });
    this->Tasks.WaitOn(this->Woken, this->Woken.generation(),
                       std::min(Now + CareInterval, this->Returns.nextDue()));
  }
}

void TokenDesk::updateHomes() {
  TimePoint Now = this->Tasks.Now();
  std::size_t Holders = this->Roster.failureDomains();
  for (auto &[Part, Desk] : this->Wallets) {
    if (!this->Roster.isHome(Part)) {
      this->HomeSince.erase(Part);
      Desk.setHolders(false, Holders);
      continue;
    }
    TimePoint Since = this->HomeSince.try_emplace(Part, Now).first->second;
    Desk.setHolders(Now - Since >= this->Policy.HomeSettling, Holders);
  }
}

void TokenDesk::sendDue() {
  TimePoint Now = this->Tasks.Now();
  for (const DueReturn &Due : this->Returns.takeDue(Now))
    this->send(Due.Lender, LoanMessageKind::Return, Due.Message);
  for (HostId Host : this->Roster.takeProbes(Now))
    this->send(Host, LoanMessageKind::Probe, HostProbe{});
}

void TokenDesk::beginStop() {
  this->IsStopping = true;
  this->Roster.beginStop();
  this->updateHomes();
}

void TokenDesk::stop(TimePoint LoansUntil, TimePoint Deadline) {
  this->beginStop();
  // What borrowers still say is worth more in the last record than their worst
  // cases.
  this->Tasks.waitUntil(this->LoanEnded, LoansUntil, [this] {
    return this->Loans.open() == 0 && this->Returns.waiting() == 0;
  });
  for (auto &[Part, Desk] : this->Wallets)
    Desk.beginStop();
  for (auto &[Part, Desk] : this->Wallets)
    Desk.stop(Deadline);
  this->IsStopped = true;
  this->Woken.notify();
  if (this->Peers)
    this->Peers->stop();
}

unsigned TokenDesk::partitionOf(const std::string &Team) const {
  return static_cast<unsigned>(hash64(Team) % this->Wallets.size());
}

WalletDesk *TokenDesk::walletOf(const std::string &Team) {
  if (this->Wallets.empty())
    return nullptr;
  return &this->Wallets.at(this->partitionOf(Team));
}

bool TokenDesk::setBudget(const std::string &Team, Tokens Budget) {
  auto [Place, IsNew] = this->Budgets.try_emplace(Team, Budget);
  bool HasChanged = IsNew || Place->second != Budget;
  Place->second = Budget;
  if (WalletDesk *Desk = this->walletOf(Team))
    Desk->setBudget(Team, Budget);
  return HasChanged;
}

Result<TokenHold> TokenDesk::reserve(const std::string &Team, Tokens Amount,
                                     TimePoint Deadline,
                                     const std::function<bool()> &IsGivenUp) {
  if (!this->hasBegun())
    return WalletError::NotReady;
  TimePoint Begin = this->Tasks.Now();
  TimePoint End = std::min(Deadline, Begin + this->Policy.LongestWait);
  TokenHold Hold{Team, Amount, std::nullopt, {}};
  if (this->walletOf(Team)->reserveNow(Team, Amount)) {
    this->Measured.count("tokens_reserved_total{from=\"own\"}");
    return Hold;
  }
  std::vector<std::string> Answers;
  std::set<HostId> Asked;
  unsigned Partition = this->partitionOf(Team);
  bool IsLogLost = false;
  while (this->Tasks.Now() < End && !IsGivenUp()) {
    auto Next = this->nextHome(Partition, Asked, IsLogLost);
    if (!Next)
      break;
    HostId Home = *Next;
    Asked.insert(Home);
    bool IsOwn = Home == this->Roster.self().id();
    if (this->isRefused(Team, Home, Amount)) {
      // It may have said so because its log was lost; a successor will tell.
      IsLogLost = true;
      Answers.push_back("not in hand a moment ago");
      continue;
    }
    HomeAnswer Given = IsOwn ? this->reserveOwn(Team, Amount, End, IsGivenUp)
                             : this->borrow(Home, Hold, End, IsGivenUp);
    const RosterHost *Known = this->Roster.find(Home);
    std::string Name = Known ? Known->Name : "removed";
    switch (Given) {
    case HomeAnswer::Granted:
      this->Measured.count(IsOwn ? "tokens_reserved_total{from=\"own\"}"
                                 : "tokens_reserved_total{from=\"loan\"}");
      this->Measured.observe("tokens_wait_seconds", this->Tasks.Now() - Begin);
      return Hold;
    case HomeAnswer::Exhausted:
      return WalletError::Exhausted;
    case HomeAnswer::NotInHand:
      this->noteNotInHand(Team, Home, Amount);
      Answers.push_back(Name + ": not in hand");
      break;
    case HomeAnswer::LogLost:
      IsLogLost = true;
      this->noteNotInHand(Team, Home, Amount);
      Answers.push_back(Name + ": not in hand, log lost");
      break;
    case HomeAnswer::Silent:
      Answers.push_back(Name + ": silent");
      break;
    }
  }
  this->noteRefusal(Team, Amount, Answers);
  return WalletError::NotInHand;
}

std::optional<HostId> TokenDesk::nextHome(unsigned Partition,
                                          const std::set<HostId> &Asked,
                                          bool IsLogLost) {
  auto IsNew = [&](HostId Each) { return !Asked.contains(Each); };
  // Read anew for each home, since one that was silent has a successor.
  const std::vector<HostId> &Homes = this->Roster.homes(Partition);
  auto Next = std::find_if(Homes.begin(), Homes.end(), IsNew);
  if (Next != Homes.end() && Asked.size() < this->Policy.MaxHomes)
    return *Next;
  if (!IsLogLost || Asked.size() >= Homes.size() + this->Policy.MaxSuccessors)
    return std::nullopt;
  std::vector<HostId> Successors = this->Roster.homesWithout(Partition, Asked);
  if (Successors.empty())
    return std::nullopt;
  return Successors.front();
}

bool TokenDesk::isRefused(const std::string &Team, HostId Home,
                          Tokens Amount) const {
  auto Found = this->Refusals.find({Team, Home});
  return Found != this->Refusals.end() && Amount >= Found->second.Amount &&
         this->Tasks.Now() < Found->second.EndsAt;
}

void TokenDesk::noteNotInHand(const std::string &Team, HostId Home,
                              Tokens Amount) {
  Refusal &Last = this->Refusals[{Team, Home}];
  TimePoint Now = this->Tasks.Now();
  if (Now >= Last.EndsAt || Amount < Last.Amount)
    Last.Amount = Amount;
  Last.EndsAt = Now + this->Policy.RefusalLifetime;
}

void TokenDesk::noteRefusal(const std::string &Team, Tokens Amount,
                            const std::vector<std::string> &Asked) {
  this->Measured.count("tokens_refused_total");
  WalletDesk &Own = *this->walletOf(Team);
  WalletView Seen = Own.wallet().view(Team);
  logEvent(
      LogLevel::Info, "tokens_out_of_reach",
      {{"team", Team},
       {"asked", Amount},
       {"homes", Asked},
       {"in_hand", Seen.Limit - Seen.Spent - Seen.SetAside},
       {"lent", this->Loans.lent(Team)},
       {"budget", Seen.Budget},
       {"others_hold", Seen.Others.Held},
       {"view_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           Own.wallet().viewAge(this->Tasks.Now()))
                           .count()},
       {"log_lost", Own.isLogLost()},
       {"silent_hosts", this->Roster.silentHosts()}});
}

TokenDesk::HomeAnswer
TokenDesk::reserveOwn(const std::string &Team, Tokens Amount, TimePoint End,
                      const std::function<bool()> &IsGivenUp) {
  TimePoint Until = std::min(End, this->Tasks.Now() + this->Policy.LenderWait);
  auto Verdict = this->walletOf(Team)->reserve(Team, Amount, Until, IsGivenUp);
  if (Verdict)
    return HomeAnswer::Granted;
  if (Verdict.error() == WalletError::Exhausted)
    return HomeAnswer::Exhausted;
  return this->walletOf(Team)->isLogLost() ? HomeAnswer::LogLost
                                           : HomeAnswer::NotInHand;
}

TokenDesk::HomeAnswer
TokenDesk::borrow(HostId Lender, TokenHold &Hold, TimePoint End,
                  const std::function<bool()> &IsGivenUp) {
  TimePoint Begin = this->Tasks.Now();
  auto Wait = std::min<Duration>(this->Policy.LenderWait, End - Begin);
  LoanAsk Ask;
  Ask.Number = ++this->LastNumber;
  Ask.Team = Hold.Team;
  Ask.Amount = Hold.Amount;
  Ask.Budget = this->Budgets[Hold.Team];
  Ask.WaitMilliseconds = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count());
  PendingAsk &Asked = this->Asks[Ask.Number];
  HomeAnswer Given = this->awaitAnswer(
      Lender, Ask, Asked, Begin + Wait + AnswerAllowance, IsGivenUp);
  LoanVerdict Verdict = Asked.Verdict;
  Hold.Lender = Asked.Lender;
  this->Asks.erase(Ask.Number);
  bool IsAnswered = Verdict != LoanVerdict::Waiting;
  const char *Outcome = IsAnswered                    ? nameOf(Verdict)
                        : Given == HomeAnswer::Silent ? "silent"
                                                      : "late";
  this->Measured.count(std::string("loans_asked_total{answer=\"") + Outcome +
                       "\"}");
  if (Given == HomeAnswer::Granted)
    Hold.Number = Ask.Number;
  else if (!IsAnswered)
    this->giveBack(Lender, {Ask.Number, 0, 0});
  return Given;
}

TokenDesk::HomeAnswer
TokenDesk::awaitAnswer(HostId Lender, const LoanAsk &Ask, PendingAsk &Asked,
                       TimePoint End, const std::function<bool()> &IsGivenUp) {
  for (unsigned Sent = 0; !IsGivenUp() && this->Tasks.Now() < End; ++Sent) {
    if (Sent >= this->Policy.MaxAsks && !Asked.IsHeard) {
      this->noteSilent(Lender);
      return HomeAnswer::Silent;
    }
    this->send(Lender, LoanMessageKind::Ask, Ask);
    bool IsAnswered = this->Tasks.waitUntil(
        Asked.Changed,
        std::min(End, this->Tasks.Now() + this->Policy.RepeatAfter),
        [&] { return Asked.Verdict != LoanVerdict::Waiting; });
    if (!IsAnswered)
      continue;
    switch (Asked.Verdict) {
    case LoanVerdict::Granted:
      return HomeAnswer::Granted;
    case LoanVerdict::Exhausted:
      return HomeAnswer::Exhausted;
    case LoanVerdict::Leaving:
      this->Roster.onLeaving(Lender, this->Tasks.Now());
      return HomeAnswer::NotInHand;
    case LoanVerdict::LogLost:
      return HomeAnswer::LogLost;
    case LoanVerdict::NotInHand:
    case LoanVerdict::Waiting:
      return HomeAnswer::NotInHand;
    }
  }
  return HomeAnswer::NotInHand;
}

void TokenDesk::noteSilent(HostId Host) {
  if (!this->Roster.onSilent(Host, this->Tasks.Now()))
    return;
  const RosterHost *Known = this->Roster.find(Host);
  logEvent(LogLevel::Warning, "host_silent",
           {{"host", Known ? Known->Name : "removed"},
            {"asks", this->Policy.MaxAsks}});
  this->updateHomes();
}

void TokenDesk::settle(const TokenHold &Hold, Tokens Spent) {
  if (!Hold.Number) {
    this->walletOf(Hold.Team)->settle(Hold.Team, Hold.Amount, Spent);
    return;
  }
  this->giveBack(Hold.Lender.Host, {*Hold.Number, Hold.Lender.Run, Spent});
}

void TokenDesk::giveBack(HostId Lender, const LoanReturn &Message) {
  this->Returns.add(Lender, Message, this->Tasks.Now());
  this->send(Lender, LoanMessageKind::Return, Message);
  this->Woken.notify();
}

void TokenDesk::received(std::string Bytes) {
  if (this->Peers)
    this->Peers->receiveFrame(PeerTransport::Datagram, std::move(Bytes));
}

template <typename Message>
void TokenDesk::send(HostId To, LoanMessageKind Kind, const Message &Body) {
  this->Peers->send(To, static_cast<std::uint16_t>(Kind), encodeMessage(Body));
}

template <typename Message>
void TokenDesk::handle(
    LoanMessageKind Kind,
    std::function<void(const Incarnation &, const Message &)> Take) {
  this->Peers->setHandler(
      static_cast<std::uint16_t>(Kind),
      [this, Take = std::move(Take)](const Incarnation &From,
                                     std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Read, decodeMessage<Message>(Body));
        if (!Read.isValid())
          return PeerError::Malformed;
        if (this->Roster.onHeard(From.Host)) {
          const RosterHost *Known = this->Roster.find(From.Host);
          logEvent(LogLevel::Info, "host_heard",
                   {{"host", Known ? Known->Name : "removed"}});
        }
        Take(From, Read);
        return success();
      });
}

void TokenDesk::setHandlers() {
  this->handle<LoanAsk>(LoanMessageKind::Ask,
                        [this](const Incarnation &From, const LoanAsk &Ask) {
                          this->onAsk(From, Ask);
                        });
  this->handle<LoanAnswer>(
      LoanMessageKind::Answer,
      [this](const Incarnation &From, const LoanAnswer &Answer) {
        this->onAnswer(From, Answer);
      });
  this->handle<LoanReturn>(
      LoanMessageKind::Return,
      [this](const Incarnation &From, const LoanReturn &Message) {
        this->onReturn(From, Message);
      });
  this->handle<LoanReceipt>(
      LoanMessageKind::Receipt,
      [this](const Incarnation &From, const LoanReceipt &Message) {
        this->Returns.onReceipt(From.Host, Message.Number);
        if (this->IsStopping)
          this->LoanEnded.notify();
      });
  this->handle<HostProbe>(
      LoanMessageKind::Probe,
      [this](const Incarnation &From, const HostProbe &Message) {
        this->send(From.Host, LoanMessageKind::ProbeAnswer, Message);
      });
  this->handle<HostProbe>(LoanMessageKind::ProbeAnswer,
                          [](const Incarnation &, const HostProbe &) {});
}

void TokenDesk::answer(const Incarnation &To, std::uint64_t Number,
                       LoanVerdict Verdict) {
  this->Measured.count(std::string("loans_answered_total{answer=\"") +
                       nameOf(Verdict) + "\"}");
  this->send(To.Host, LoanMessageKind::Answer, LoanAnswer{Number, Verdict});
}

LoanVerdict TokenDesk::refusalOf(const LoanAsk &Ask, std::error_code Reason) {
  // A lender with an older configuration does not know of a raised budget.
  auto Known = this->Budgets.find(Ask.Team);
  bool IsKnown = Known != this->Budgets.end() && Known->second >= Ask.Budget;
  if (Reason == WalletError::Exhausted && IsKnown)
    return LoanVerdict::Exhausted;
  return this->walletOf(Ask.Team)->isLogLost() ? LoanVerdict::LogLost
                                               : LoanVerdict::NotInHand;
}

void TokenDesk::onAsk(const Incarnation &From, const LoanAsk &Ask) {
  LoanId Id{From, Ask.Number};
  switch (this->Loans.stateOf(Id)) {
  case LoanState::Waiting:
    return this->answer(From, Ask.Number, LoanVerdict::Waiting);
  case LoanState::Granted:
    return this->answer(From, Ask.Number, LoanVerdict::Granted);
  case LoanState::Ended:
    return;
  case LoanState::Unknown:
    break;
  }
  if (this->IsStopping)
    return this->answer(From, Ask.Number, LoanVerdict::Leaving);
  if (!this->Budgets.contains(Ask.Team) ||
      !this->Loans.begin(Id, {Ask.Team, Ask.Amount}))
    return this->answer(From, Ask.Number, LoanVerdict::NotInHand);
  auto Verdict = this->walletOf(Ask.Team)->reserveNow(Ask.Team, Ask.Amount);
  if (Verdict) {
    this->Loans.grant(Id);
    return this->answer(From, Ask.Number, LoanVerdict::Granted);
  }
  if (Verdict.error() == WalletError::Exhausted) {
    this->Loans.refuse(Id);
    return this->answer(From, Ask.Number,
                        this->refusalOf(Ask, Verdict.error()));
  }
  this->lendLater(Id, Ask);
}

void TokenDesk::lendLater(const LoanId &Id, const LoanAsk &Ask) {
  this->Tasks.Spawn([this, Id, Ask] {
    TimePoint End =
        this->Tasks.Now() +
        std::min<Duration>(this->Policy.LenderWait,
                           std::chrono::milliseconds(Ask.WaitMilliseconds));
    auto Verdict = this->walletOf(Ask.Team)->reserve(
        Ask.Team, Ask.Amount, End,
        [this, Id] { return this->Loans.stateOf(Id) != LoanState::Waiting; });
    if (!Verdict) {
      bool IsAwaited = this->Loans.stateOf(Id) == LoanState::Waiting;
      this->Loans.refuse(Id);
      if (IsAwaited)
        this->answer(Id.Borrower, Id.Number,
                     this->refusalOf(Ask, Verdict.error()));
      return;
    }
    if (this->Loans.grant(Id))
      this->answer(Id.Borrower, Id.Number, LoanVerdict::Granted);
    else
      this->walletOf(Ask.Team)->settle(Ask.Team, Ask.Amount, 0);
  });
  // Tells a borrower whose ask has to wait that it was heard.
  if (this->Loans.stateOf(Id) == LoanState::Waiting)
    this->answer(Id.Borrower, Id.Number, LoanVerdict::Waiting);
}

void TokenDesk::onAnswer(const Incarnation &From, const LoanAnswer &Answer) {
  auto Found = this->Asks.find(Answer.Number);
  // A grant that comes after its ask was given up is given back already; one of
  // a loan in use or returned is a copy.
  if (Found == this->Asks.end() ||
      Found->second.Verdict != LoanVerdict::Waiting)
    return;
  Found->second.IsHeard = true;
  Found->second.Verdict = Answer.Verdict;
  Found->second.Lender = From;
  Found->second.Changed.notify();
}

void TokenDesk::onReturn(const Incarnation &From, const LoanReturn &Message) {
  bool IsMeant = Message.LenderRun == this->Roster.self().Run;
  auto Settled = this->Loans.end({From, Message.Number}, this->Tasks.Now());
  if (Settled) {
    // The borrower used what an earlier run of this host lent, or gave up: it
    // has spent nothing of this one.
    Tokens Spent = IsMeant ? std::min(Message.Spent, Settled->Amount) : 0;
    this->walletOf(Settled->Team)
        ->settle(Settled->Team, Settled->Amount, Spent);
  }
  if (this->IsStopping)
    this->LoanEnded.notify();
  this->send(From.Host, LoanMessageKind::Receipt, LoanReceipt{Message.Number});
}

void TokenDesk::measure() {
  this->Measured.set("hosts_known", static_cast<double>(this->Roster.hosts()));
  this->Measured.set("hosts_silent",
                     static_cast<double>(this->Roster.silentHosts()));
  this->Measured.set("loans_open", static_cast<double>(this->Loans.open()));
  this->Measured.set("loan_returns_waiting",
                     static_cast<double>(this->Returns.waiting()));
  this->Measured.set("loan_returns_given_up",
                     static_cast<double>(this->Returns.givenUp()));
  for (const auto &[Team, Budget] : this->Budgets) {
    WalletDesk *Desk = this->walletOf(Team);
    WalletView Seen = Desk ? Desk->wallet().view(Team) : WalletView{};
    if (Seen.Held == 0)
      continue;
    const std::string Label = "{team=\"" + Team + "\"}";
    auto Set = [&](const char *Name, Tokens Amount) {
      this->Measured.set(Name + Label, static_cast<double>(Amount));
    };
    Set("tokens_in_hand", Seen.Limit - Seen.Spent - Seen.SetAside);
    Set("tokens_lent", this->Loans.lent(Team));
    Set("tokens_spent", Seen.Spent);
    Set("tokens_free", Budget - Seen.Held - Seen.Others.Held);
  }
}

} // namespace bergamothook
