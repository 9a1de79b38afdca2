#include "LibLoan/TokenBroker.h"

#include "LibObserve/StructuredLog.h"
#include "LibPeer/MessageCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// Interval at which homes, silent hosts and old loans are checked.
constexpr Duration MaintenanceInterval = std::chrono::milliseconds(250);
/// Pauses between two notices of shares while the log can't be reached. The
/// first ones may be lost while sessions are established.
constexpr Duration MinShareNoticePause = std::chrono::milliseconds(200);
constexpr Duration MaxShareNoticePause = std::chrono::seconds(5);
/// Time allowed for a response to arrive, in addition to the lender's wait.
constexpr Duration ResponseTransitTime = std::chrono::milliseconds(60);

} // namespace

TokenBroker::TokenBroker(RosterHost Self, std::string Process,
                         TokenPolicy Policy, TokenHooks Hooks,
                         Metrics &Measured, std::uint64_t Seed)
    : Process(std::move(Process)), Policy(Policy), Hooks(std::move(Hooks)),
      Tasks(this->Hooks.Tasks), Measured(Measured), Seed(Seed),
      Roster(std::move(Self), Policy.Roster), Loans(Policy.Loans),
      Returns(Policy.Returns) {}

void TokenBroker::begin(const FleetFounding &Founding) {
  this->Keys = Founding.Keys;
  for (unsigned Partition = 0; Partition < Founding.Partitions; ++Partition)
    this->Wallets.try_emplace(Partition, this->Process, this->Policy.Wallets,
                              this->Hooks.MakeLog(Partition), this->Tasks);
  for (auto &[Partition, Service] : this->Wallets)
    Service.setOnAppended(
        [this, Partition = Partition](const std::vector<WalletRecord> &Shares) {
          this->sendShares(this->Roster.homes(Partition), Shares);
        });
  for (const auto &[Team, Budget] : this->Budgets)
    this->walletOf(Team)->setBudget(Team, Budget);
  PeerHooks PeerCallbacks;
  PeerCallbacks.SendDatagram = [this](HostId To, std::string Bytes) {
    if (const RosterHost *Host = this->Roster.find(To))
      this->Hooks.SendDatagram(Host->Address, std::move(Bytes));
  };
  PeerCallbacks.Report = [](std::error_code Reason, std::uint64_t Count) {
    logEvent(LogLevel::Warning, "peer_messages_refused",
             {{"reason", Reason.message()}, {"count", Count}});
  };
  this->Peers.emplace(
      Incarnation{this->Roster.self().id(), this->Roster.self().Run},
      Founding.Keys, this->Tasks, std::move(PeerCallbacks), PeerNodeLimits{},
      this->Seed);
  this->setHandlers();
  this->Peers->start();
  this->updateHomes();
  for (auto &[Partition, Service] : this->Wallets)
    this->Tasks.Spawn([&Service] { Service.run(); });
}

void TokenBroker::run() {
  while (!this->IsStopped) {
    TimePoint Now = this->Tasks.Now();
    if (this->hasBegun()) {
      this->updateHomes();
      this->sendDueMessages();
    }
    this->Loans.expire(Now);
    std::erase_if(this->Refusals, [Now](const auto &Each) {
      return Each.second.ExpiresAt <= Now;
    });
    this->Tasks.WaitOn(
        this->WorkAvailable, this->WorkAvailable.generation(),
        std::min(Now + MaintenanceInterval, this->Returns.nextDue()));
  }
}

void TokenBroker::updateHomes() {
  TimePoint Now = this->Tasks.Now();
  std::size_t Holders = this->Roster.failureDomains();
  for (auto &[Partition, Service] : this->Wallets) {
    if (!this->Roster.isHome(Partition)) {
      this->HomeSince.erase(Partition);
      Service.setHolders(false, Holders);
      continue;
    }
    TimePoint Since = this->HomeSince.try_emplace(Partition, Now).first->second;
    Service.setHolders(Now - Since >= this->Policy.HomeStabilizationTime,
                       Holders);
  }
}

void TokenBroker::sendDueMessages() {
  TimePoint Now = this->Tasks.Now();
  for (const DueReturn &Due : this->Returns.takeDue(Now))
    this->send(Due.Lender, LoanMessageKind::Return, Due.Message);
  for (HostId Host : this->Roster.takeDueProbes(Now))
    this->send(Host, LoanMessageKind::Probe, HostProbe{});
  if (this->IsLogReachable || Now < this->NextShareNotice)
    return;
  this->NextShareNotice = Now + this->ShareNoticePause;
  this->ShareNoticePause =
      std::min(2 * this->ShareNoticePause, MaxShareNoticePause);
  for (auto &[Partition, Service] : this->Wallets)
    this->sendShares(this->Roster.otherResponsiveHosts(),
                     Service.wallet().ownShares());
}

void TokenBroker::setLogReachable(bool IsReachable) {
  bool IsLost = this->IsLogReachable && !IsReachable;
  this->IsLogReachable = IsReachable;
  if (!IsLost || !this->hasBegun())
    return;
  this->NextShareNotice = {};
  this->ShareNoticePause = MinShareNoticePause;
  this->sendDueMessages();
}

void TokenBroker::sendShares(const std::vector<HostId> &Hosts,
                             const std::vector<WalletRecord> &Shares) {
  ShareNotice Notice;
  Notice.Process = this->Process;
  std::size_t Bytes = 0;
  for (std::size_t I = 0; I < Shares.size(); ++I) {
    const WalletRecord &Own = Shares[I];
    Notice.Era = Own.Share.Era;
    Notice.Shares.push_back(
        {Own.Key.Team, Own.Share.Held, Own.Share.Committed, Own.Offset});
    Bytes += Own.Key.Team.size() + NoticedShareBytes;
    if (Bytes + MaxTeamName + NoticedShareBytes <= MaxNoticeBytes &&
        I + 1 < Shares.size())
      continue;
    Bytes = 0;
    for (HostId Host : Hosts)
      if (Host != this->Roster.self().id())
        this->send(Host, LoanMessageKind::ShareNotice, Notice);
    Notice.Shares.clear();
  }
}

void TokenBroker::onShareNotice(const ShareNotice &Notice) {
  for (const NoticedShare &Noticed : Notice.Shares)
    if (WalletService *Holder = this->walletOf(Noticed.Team)) {
      WalletShare Share;
      Share.Held = Noticed.Held;
      Share.Committed = Noticed.Committed;
      Share.Era = Notice.Era;
      Holder->wallet().onNotice(
          {{Noticed.Team, Notice.Process}, Share, Noticed.Offset});
    }
}

void TokenBroker::beginStop() {
  this->IsStopping = true;
  this->Roster.beginStop();
  this->updateHomes();
}

void TokenBroker::stop(TimePoint LoansUntil, TimePoint Deadline) {
  this->beginStop();
  // Waits for borrowers to report what they spent; otherwise the last record
  // would have to count the full amounts of their loans as spent.
  this->Tasks.waitUntil(this->LoanEnded, LoansUntil, [this] {
    return this->Loans.open() == 0 && this->Returns.pending() == 0;
  });
  for (auto &[Partition, Service] : this->Wallets)
    Service.beginStop();
  for (auto &[Partition, Service] : this->Wallets)
    Service.stop(Deadline);
  this->IsStopped = true;
  this->WorkAvailable.notify();
  if (this->Peers)
    this->Peers->stop();
}

unsigned TokenBroker::partitionOf(const std::string &Team) const {
  return static_cast<unsigned>(hash64(Team) % this->Wallets.size());
}

WalletService *TokenBroker::walletOf(const std::string &Team) {
  if (this->Wallets.empty())
    return nullptr;
  return &this->Wallets.at(this->partitionOf(Team));
}

bool TokenBroker::setBudget(const std::string &Team, Tokens Budget) {
  auto [Place, IsNew] = this->Budgets.try_emplace(Team, Budget);
  bool HasChanged = IsNew || Place->second != Budget;
  Place->second = Budget;
  if (WalletService *Service = this->walletOf(Team))
    Service->setBudget(Team, Budget);
  return HasChanged;
}

std::vector<std::string>
TokenBroker::keepBudgets(const std::set<std::string> &Teams) {
  std::vector<std::string> Forgotten;
  for (const auto &[Team, Budget] : this->Budgets)
    if (!Teams.contains(Team))
      Forgotten.push_back(Team);
  for (const std::string &Team : Forgotten) {
    this->Budgets.erase(Team);
    if (WalletService *Service = this->walletOf(Team))
      Service->forgetBudget(Team);
  }
  return Forgotten;
}

Result<TokenReservation>
TokenBroker::reserve(const std::string &Team, Tokens Amount, TimePoint Deadline,
                     const std::function<bool()> &IsCancelled) {
  if (!this->hasBegun())
    return WalletError::NotReady;
  TimePoint Begin = this->Tasks.Now();
  TimePoint End = std::min(Deadline, Begin + this->Policy.MaxWait);
  TokenReservation Reservation{Team, Amount, std::nullopt, {}};
  if (this->walletOf(Team)->reserveNow(Team, Amount)) {
    this->Measured.count("tokens_reserved_total{from=\"own\"}");
    return Reservation;
  }
  std::vector<std::string> Outcomes;
  std::set<HostId> Asked;
  unsigned Partition = this->partitionOf(Team);
  bool IsLogLost = false;
  while (this->Tasks.Now() < End && !IsCancelled()) {
    auto Next = this->nextHome(Partition, Asked, IsLogLost);
    if (!Next)
      break;
    // It may have been forgotten while a home was asked.
    auto Budget = this->Budgets.find(Team);
    if (Budget == this->Budgets.end())
      return WalletError::NoBudget;
    HostId Home = *Next;
    Asked.insert(Home);
    bool IsOwn = Home == this->Roster.self().id();
    if (this->wasRecentlyRefused(Team, Home, Amount)) {
      // It may have refused because it can't reach the log; a successor might.
      IsLogLost = true;
      Outcomes.push_back("not in hand a moment ago");
      continue;
    }
    HomeOutcome Outcome =
        IsOwn
            ? this->reserveOwn(Team, Amount, End, IsCancelled)
            : this->borrow(Home, Budget->second, Reservation, End, IsCancelled);
    const RosterHost *Found = this->Roster.find(Home);
    std::string Name = Found ? Found->Name : "removed";
    switch (Outcome) {
    case HomeOutcome::Granted:
      this->Measured.count(IsOwn ? "tokens_reserved_total{from=\"own\"}"
                                 : "tokens_reserved_total{from=\"loan\"}");
      this->Measured.observe("tokens_wait_seconds", this->Tasks.Now() - Begin);
      return Reservation;
    case HomeOutcome::Exhausted:
      return WalletError::Exhausted;
    case HomeOutcome::NotInHand:
      this->recordRefusal(Team, Home, Amount);
      Outcomes.push_back(Name + ": not in hand");
      break;
    case HomeOutcome::LogLost:
      IsLogLost = true;
      this->recordRefusal(Team, Home, Amount);
      Outcomes.push_back(Name + ": not in hand, log lost");
      break;
    case HomeOutcome::Silent:
      Outcomes.push_back(Name + ": silent");
      break;
    }
  }
  if (!this->Budgets.contains(Team))
    return WalletError::NoBudget;
  this->logRefusal(Team, Amount, Outcomes);
  return WalletError::NotInHand;
}

std::optional<HostId> TokenBroker::nextHome(unsigned Partition,
                                            const std::set<HostId> &Asked,
                                            bool IsLogLost) {
  auto IsNew = [&](HostId Each) { return !Asked.contains(Each); };
  // Queried again for each home, because a home that turned out to be silent
  // has a successor.
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

bool TokenBroker::wasRecentlyRefused(const std::string &Team, HostId Home,
                                     Tokens Amount) const {
  auto Found = this->Refusals.find({Team, Home});
  return Found != this->Refusals.end() && Amount >= Found->second.Amount &&
         this->Tasks.Now() < Found->second.ExpiresAt;
}

void TokenBroker::recordRefusal(const std::string &Team, HostId Home,
                                Tokens Amount) {
  Refusal &Last = this->Refusals[{Team, Home}];
  TimePoint Now = this->Tasks.Now();
  if (Now >= Last.ExpiresAt || Amount < Last.Amount)
    Last.Amount = Amount;
  Last.ExpiresAt = Now + this->Policy.RefusalLifetime;
}

void TokenBroker::logRefusal(const std::string &Team, Tokens Amount,
                             const std::vector<std::string> &Outcomes) {
  this->Measured.count("tokens_refused_total");
  WalletService &Own = *this->walletOf(Team);
  WalletView View = Own.wallet().view(Team);
  logEvent(
      LogLevel::Info, "tokens_out_of_reach",
      {{"team", Team},
       {"asked", Amount},
       {"homes", Outcomes},
       {"in_hand", View.Limit - View.Spent - View.Reserved},
       {"lent", this->Loans.lent(Team)},
       {"budget", View.Budget},
       {"others_hold", View.Others.Held},
       {"view_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           Own.wallet().viewAge(this->Tasks.Now()))
                           .count()},
       {"log_lost", Own.isLogLost()},
       {"silent_hosts", this->Roster.silentHosts()}});
}

TokenBroker::HomeOutcome
TokenBroker::reserveOwn(const std::string &Team, Tokens Amount, TimePoint End,
                        const std::function<bool()> &IsCancelled) {
  TimePoint Until =
      std::min(End, this->Tasks.Now() + this->Policy.LenderTimeout);
  auto Reservation =
      this->walletOf(Team)->reserve(Team, Amount, Until, IsCancelled);
  if (Reservation)
    return HomeOutcome::Granted;
  if (Reservation.error() == WalletError::Exhausted)
    return HomeOutcome::Exhausted;
  return this->walletOf(Team)->isLogLost() ? HomeOutcome::LogLost
                                           : HomeOutcome::NotInHand;
}

TokenBroker::HomeOutcome
TokenBroker::borrow(HostId Lender, Tokens Budget, TokenReservation &Reservation,
                    TimePoint End, const std::function<bool()> &IsCancelled) {
  TimePoint Begin = this->Tasks.Now();
  auto Wait = std::min<Duration>(this->Policy.LenderTimeout, End - Begin);
  LoanRequest Request;
  Request.Number = ++this->LastNumber;
  Request.Team = Reservation.Team;
  Request.Amount = Reservation.Amount;
  Request.Budget = Budget;
  Request.WaitMilliseconds = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count());
  PendingRequest &Pending = this->PendingRequests[Request.Number];
  HomeOutcome Outcome =
      this->awaitResponse(Lender, Request, Pending,
                          Begin + Wait + ResponseTransitTime, IsCancelled);
  LoanStatus Status = Pending.Status;
  Reservation.Lender = Pending.Lender;
  this->PendingRequests.erase(Request.Number);
  bool IsDecided = Status != LoanStatus::Waiting;
  const char *Label = IsDecided                        ? nameOf(Status)
                      : Outcome == HomeOutcome::Silent ? "silent"
                                                       : "late";
  this->Measured.count(std::string("loans_asked_total{answer=\"") + Label +
                       "\"}");
  if (Outcome == HomeOutcome::Granted)
    Reservation.Number = Request.Number;
  else if (!IsDecided)
    this->returnLoan(Lender, {Request.Number, 0, 0});
  return Outcome;
}

TokenBroker::HomeOutcome
TokenBroker::awaitResponse(HostId Lender, const LoanRequest &Request,
                           PendingRequest &Pending, TimePoint End,
                           const std::function<bool()> &IsCancelled) {
  for (unsigned Sent = 0; !IsCancelled() && this->Tasks.Now() < End; ++Sent) {
    if (Sent >= this->Policy.MaxRequestAttempts && !Pending.IsAcknowledged) {
      this->markHostSilent(Lender);
      return HomeOutcome::Silent;
    }
    this->send(Lender, LoanMessageKind::Request, Request);
    bool IsDecided = this->Tasks.waitUntil(
        Pending.Changed,
        std::min(End, this->Tasks.Now() + this->Policy.RequestRetryInterval),
        [&] { return Pending.Status != LoanStatus::Waiting; });
    if (!IsDecided)
      continue;
    switch (Pending.Status) {
    case LoanStatus::Granted:
      return HomeOutcome::Granted;
    case LoanStatus::Exhausted:
      return HomeOutcome::Exhausted;
    case LoanStatus::Leaving:
      this->Roster.markLeaving(Lender, this->Tasks.Now());
      return HomeOutcome::NotInHand;
    case LoanStatus::LogLost:
      return HomeOutcome::LogLost;
    case LoanStatus::NotInHand:
    case LoanStatus::Waiting:
      return HomeOutcome::NotInHand;
    }
  }
  return HomeOutcome::NotInHand;
}

void TokenBroker::markHostSilent(HostId Host) {
  if (!this->Roster.markSilent(Host, this->Tasks.Now()))
    return;
  const RosterHost *Found = this->Roster.find(Host);
  logEvent(LogLevel::Warning, "host_silent",
           {{"host", Found ? Found->Name : "removed"},
            {"asks", this->Policy.MaxRequestAttempts}});
  this->updateHomes();
}

void TokenBroker::markHostResponsive(HostId Host) {
  if (!this->Roster.markResponsive(Host))
    return;
  const RosterHost *Found = this->Roster.find(Host);
  logEvent(LogLevel::Info, "host_heard",
           {{"host", Found ? Found->Name : "removed"}});
}

void TokenBroker::sendMessage(HostId To, std::uint16_t Kind,
                              std::string_view Body) {
  if (this->Peers)
    this->Peers->send(To, Kind, Body);
}

void TokenBroker::settle(const TokenReservation &Reservation, Tokens Spent) {
  if (!Reservation.Number) {
    this->walletOf(Reservation.Team)
        ->settle(Reservation.Team, Reservation.Amount, Spent);
    return;
  }
  this->returnLoan(Reservation.Lender.Host,
                   {*Reservation.Number, Reservation.Lender.Run, Spent});
}

void TokenBroker::returnLoan(HostId Lender, const LoanReturn &Message) {
  this->Returns.add(Lender, Message, this->Tasks.Now());
  this->send(Lender, LoanMessageKind::Return, Message);
  this->WorkAvailable.notify();
}

void TokenBroker::received(std::string Bytes) {
  if (this->Peers)
    this->Peers->receiveFrame(PeerTransport::Datagram, std::move(Bytes));
}

template <typename Message>
void TokenBroker::send(HostId To, LoanMessageKind Kind, const Message &Body) {
  this->Peers->send(To, static_cast<std::uint16_t>(Kind), encodeMessage(Body));
}

template <typename Message>
void TokenBroker::handle(
    LoanMessageKind Kind,
    std::function<void(const Incarnation &, const Message &)> Take) {
  this->Peers->setHandler(
      static_cast<std::uint16_t>(Kind),
      [this, Take = std::move(Take)](const Incarnation &From,
                                     std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Read, decodeMessage<Message>(Body));
        if (!Read.isValid())
          return PeerError::Malformed;
        this->markHostResponsive(From.Host);
        Take(From, Read);
        return success();
      });
}

void TokenBroker::setHandlers() {
  for (const auto &[Kind, Callback] : this->OtherHandlers)
    this->Peers->setHandler(
        Kind,
        [this, Callback = Callback](const Incarnation &From,
                                    std::string_view Body) -> Result<void> {
          this->markHostResponsive(From.Host);
          return Callback(From, Body);
        });
  this->handle<LoanRequest>(
      LoanMessageKind::Request,
      [this](const Incarnation &From, const LoanRequest &Request) {
        this->onLoanRequest(From, Request);
      });
  this->handle<ShareNotice>(
      LoanMessageKind::ShareNotice,
      [this](const Incarnation &, const ShareNotice &Notice) {
        this->onShareNotice(Notice);
      });
  this->handle<LoanResponse>(
      LoanMessageKind::Response,
      [this](const Incarnation &From, const LoanResponse &Response) {
        this->onLoanResponse(From, Response);
      });
  this->handle<LoanReturn>(
      LoanMessageKind::Return,
      [this](const Incarnation &From, const LoanReturn &Message) {
        this->onLoanReturn(From, Message);
      });
  this->handle<LoanReturnAck>(
      LoanMessageKind::ReturnAck,
      [this](const Incarnation &From, const LoanReturnAck &Message) {
        this->Returns.onAck(From.Host, Message.Number);
        if (this->IsStopping)
          this->LoanEnded.notify();
      });
  this->handle<HostProbe>(
      LoanMessageKind::Probe,
      [this](const Incarnation &From, const HostProbe &Message) {
        this->send(From.Host, LoanMessageKind::ProbeResponse, Message);
      });
  this->handle<HostProbe>(LoanMessageKind::ProbeResponse,
                          [](const Incarnation &, const HostProbe &) {});
}

void TokenBroker::respond(const Incarnation &To, std::uint64_t Number,
                          LoanStatus Status) {
  this->Measured.count(std::string("loans_answered_total{answer=\"") +
                       nameOf(Status) + "\"}");
  this->send(To.Host, LoanMessageKind::Response, LoanResponse{Number, Status});
}

LoanStatus TokenBroker::refusalStatus(const LoanRequest &Request,
                                      std::error_code Reason) {
  // A lender with an older configuration may not know of a raised budget.
  auto Found = this->Budgets.find(Request.Team);
  bool IsKnown =
      Found != this->Budgets.end() && Found->second >= Request.Budget;
  if (Reason == WalletError::Exhausted && IsKnown)
    return LoanStatus::Exhausted;
  return this->walletOf(Request.Team)->isLogLost() ? LoanStatus::LogLost
                                                   : LoanStatus::NotInHand;
}

void TokenBroker::onLoanRequest(const Incarnation &From,
                                const LoanRequest &Request) {
  LoanId Id{From, Request.Number};
  switch (this->Loans.stateOf(Id)) {
  case LoanState::Waiting:
    return this->respond(From, Request.Number, LoanStatus::Waiting);
  case LoanState::Granted:
    return this->respond(From, Request.Number, LoanStatus::Granted);
  case LoanState::Ended:
    return;
  case LoanState::Unknown:
    break;
  }
  if (this->IsStopping)
    return this->respond(From, Request.Number, LoanStatus::Leaving);
  if (!this->Budgets.contains(Request.Team) ||
      !this->Loans.begin(Id, {Request.Team, Request.Amount}))
    return this->respond(From, Request.Number, LoanStatus::NotInHand);
  auto Reservation =
      this->walletOf(Request.Team)->reserveNow(Request.Team, Request.Amount);
  if (Reservation) {
    this->Loans.grant(Id);
    return this->respond(From, Request.Number, LoanStatus::Granted);
  }
  if (Reservation.error() == WalletError::Exhausted) {
    this->Loans.refuse(Id);
    return this->respond(From, Request.Number,
                         this->refusalStatus(Request, Reservation.error()));
  }
  this->lendWhenAvailable(Id, Request);
}

void TokenBroker::lendWhenAvailable(const LoanId &Id,
                                    const LoanRequest &Request) {
  this->Tasks.Spawn([this, Id, Request] {
    TimePoint End =
        this->Tasks.Now() +
        std::min<Duration>(this->Policy.LenderTimeout,
                           std::chrono::milliseconds(Request.WaitMilliseconds));
    auto Reservation =
        this->walletOf(Request.Team)
            ->reserve(Request.Team, Request.Amount, End, [this, Id] {
              return this->Loans.stateOf(Id) != LoanState::Waiting;
            });
    if (!Reservation) {
      bool IsStillWaiting = this->Loans.stateOf(Id) == LoanState::Waiting;
      this->Loans.refuse(Id);
      if (IsStillWaiting)
        this->respond(Id.Borrower, Id.Number,
                      this->refusalStatus(Request, Reservation.error()));
      return;
    }
    if (this->Loans.grant(Id))
      this->respond(Id.Borrower, Id.Number, LoanStatus::Granted);
    else
      this->walletOf(Request.Team)->settle(Request.Team, Request.Amount, 0);
  });
  // Tells the borrower that its request arrived but has to wait.
  if (this->Loans.stateOf(Id) == LoanState::Waiting)
    this->respond(Id.Borrower, Id.Number, LoanStatus::Waiting);
}

void TokenBroker::onLoanResponse(const Incarnation &From,
                                 const LoanResponse &Response) {
  auto Found = this->PendingRequests.find(Response.Number);
  // If the request was cancelled, its tokens have been returned already. If it
  // is already decided, this response is a duplicate.
  if (Found == this->PendingRequests.end() ||
      Found->second.Status != LoanStatus::Waiting)
    return;
  Found->second.IsAcknowledged = true;
  Found->second.Status = Response.Status;
  Found->second.Lender = From;
  Found->second.Changed.notify();
}

void TokenBroker::onLoanReturn(const Incarnation &From,
                               const LoanReturn &Message) {
  bool IsThisRun = Message.LenderRun == this->Roster.self().Run;
  auto Settled = this->Loans.end({From, Message.Number}, this->Tasks.Now());
  if (Settled) {
    // If the borrower used tokens lent by an earlier run of this host, or
    // cancelled the request, it spent nothing of this loan.
    Tokens Spent = IsThisRun ? std::min(Message.Spent, Settled->Amount) : 0;
    this->walletOf(Settled->Team)
        ->settle(Settled->Team, Settled->Amount, Spent);
  }
  if (this->IsStopping)
    this->LoanEnded.notify();
  this->send(From.Host, LoanMessageKind::ReturnAck,
             LoanReturnAck{Message.Number});
}

void TokenBroker::measure() {
  this->Measured.set("hosts_known", static_cast<double>(this->Roster.hosts()));
  this->Measured.set("hosts_silent",
                     static_cast<double>(this->Roster.silentHosts()));
  this->Measured.set("loans_open", static_cast<double>(this->Loans.open()));
  this->Measured.set("loan_returns_waiting",
                     static_cast<double>(this->Returns.pending()));
  this->Measured.set("loan_returns_given_up",
                     static_cast<double>(this->Returns.abandoned()));
  for (const auto &[Team, Budget] : this->Budgets) {
    WalletService *Service = this->walletOf(Team);
    WalletView View = Service ? Service->wallet().view(Team) : WalletView{};
    if (View.Held == 0)
      continue;
    const std::string Label = "{team=\"" + Team + "\"}";
    auto Set = [&](const char *Name, Tokens Amount) {
      this->Measured.set(Name + Label, static_cast<double>(Amount));
    };
    Set("tokens_in_hand", View.Limit - View.Spent - View.Reserved);
    Set("tokens_lent", this->Loans.lent(Team));
    Set("tokens_spent", View.Spent);
    Set("tokens_free", Budget - View.Held - View.Others.Held);
  }
}

} // namespace bergamothook
