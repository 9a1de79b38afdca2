#include "LibLoan/WalletService.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// Delay after a failed call of the log.
constexpr Duration LogRetryDelay = std::chrono::milliseconds(150);
/// Maximum sleep of the task when no round is due.
constexpr Duration MaxIdleWait = std::chrono::milliseconds(200);
/// Maximum time that a request waits for tokens before it is refused as not
/// run. Long enough for several rounds while the log is available.
constexpr Duration MaxReservationWait = std::chrono::milliseconds(600);
/// Time between two attempts of a waiting request when no change is notified.
constexpr Duration RetryInterval = std::chrono::milliseconds(50);
/// How long requests of a team are refused without waiting after one waited and
/// got no tokens. The next request after that waits again, which makes other
/// processes return tokens.
constexpr Duration StarvationBackoff = std::chrono::milliseconds(1000);
/// How long the log is read after tokens were last requested.
constexpr Duration ActivePeriod = std::chrono::seconds(10);
/// Maximum sleep of the task while its wallet is not in use.
constexpr Duration MaxInactiveWait = std::chrono::minutes(10);

} // namespace

WalletService::WalletService(std::string Self, WalletPolicy Policy,
                             WalletLog Log, Runtime Tasks)
    : LocalWallet(std::move(Self), Policy), Log(std::move(Log)),
      Tasks(std::move(Tasks)) {}

bool WalletService::setBudget(const std::string &Team, Tokens Budget) {
  if (!this->LocalWallet.setBudget(Team, Budget))
    return false;
  if (this->IsHolder)
    this->WorkAvailable.notify();
  return true;
}

void WalletService::forgetBudget(const std::string &Team) {
  this->LocalWallet.forgetBudget(Team);
  // Requests that wait for its tokens end.
  this->StateChanged.notify();
  this->WorkAvailable.notify();
}

void WalletService::setLogLost(bool IsLost) {
  if (IsLost == this->IsLogLost)
    return;
  this->IsLogLost = IsLost;
  logEvent(IsLost ? LogLevel::Warning : LogLevel::Info,
           IsLost ? "wallet_log_lost" : "wallet_log_regained",
           {{"offset", this->LocalWallet.shareTable().end()},
            {"teams", this->describeTeams()}});
}

nlohmann::json WalletService::describeTeams() const {
  nlohmann::json Teams = nlohmann::json::object();
  for (const std::string &Team : this->LocalWallet.teams()) {
    WalletView View = this->LocalWallet.view(Team);
    Teams[Team] = {{"budget", View.Budget},
                   {"in_hand", View.Limit - View.Spent - View.Reserved},
                   {"spent", View.Spent},
                   {"others_hold", View.Others.Held},
                   {"others_committed", View.Others.Committed}};
  }
  return Teams;
}

bool WalletService::readLog() {
  bool HadRead = this->LocalWallet.isReady();
  auto Page = HadRead ? this->Log.Read(this->LocalWallet.shareTable().end())
                      : this->Log.ReadNewest();
  if (!Page && Page.error() == std::errc::result_out_of_range) {
    logEvent(LogLevel::Warning, "wallet_log_trimmed",
             {{"offset", this->LocalWallet.shareTable().end()}});
    this->LocalWallet.rewind();
    return false;
  }
  this->setLogLost(!Page);
  if (!Page)
    return false;
  if (Page.value().Era != this->LocalWallet.era()) {
    logEvent(LogLevel::Info, "wallet_era_began",
             {{"era", Page.value().Era},
              {"earlier_era", this->LocalWallet.era()},
              {"offset", this->LocalWallet.shareTable().end()},
              {"teams", this->describeTeams()}});
    this->LocalWallet.beginEra(Page.value().Era);
    if (HadRead)
      return true;
  }
  this->LocalWallet.onRead(Page.value().Records, Page.value().End,
                           this->Tasks.Now());
  if (!HadRead)
    logEvent(LogLevel::Info, "wallets_read",
             {{"end", Page.value().End},
              {"processes", this->LocalWallet.shareTable().processes()},
              {"teams", this->describeTeams()}});
  this->StateChanged.notify();
  return true;
}

void WalletService::runRound() {
  if (!this->readLog()) {
    this->Tasks.sleepUntil(this->Tasks.Now() + LogRetryDelay);
    return;
  }
  if (!this->LocalWallet.isReady())
    return;
  std::vector<WalletRecord> Records =
      this->LocalWallet.planRound(this->Tasks.Now());
  if (Records.empty())
    return;
  switch (this->Log.AppendAt(this->LocalWallet.shareTable().end(), Records)) {
  case WalletAppend::Done:
    this->LocalWallet.onAppended(this->LocalWallet.shareTable().end() +
                                     Records.size(),
                                 this->Tasks.Now());
    this->OnAppended(this->ownAppended(Records));
    this->StateChanged.notify();
    return;
  case WalletAppend::Moved:
    this->LocalWallet.onRefused();
    return;
  case WalletAppend::Refused:
    this->LocalWallet.onRefused();
    break;
  case WalletAppend::OtherEra:
  case WalletAppend::Unanswered:
    this->LocalWallet.onUnanswered();
    break;
  }
  this->setLogLost(true);
  this->StateChanged.notify();
  this->Tasks.sleepUntil(this->Tasks.Now() + LogRetryDelay);
}

std::vector<WalletRecord>
WalletService::ownAppended(std::vector<WalletRecord> Records) const {
  std::uint64_t Offset = this->LocalWallet.shareTable().end() - Records.size();
  for (WalletRecord &Record : Records)
    Record.Offset = Offset++;
  std::erase_if(Records, [this](const WalletRecord &Record) {
    return Record.Key.Process != this->LocalWallet.self();
  });
  return Records;
}

bool WalletService::isActive(TimePoint Now) const {
  return (this->IsHolder && !this->IsStopping &&
          this->LocalWallet.hasBudgets()) ||
         Now < this->ActiveUntil || this->LocalWallet.isInUse();
}

void WalletService::activate() {
  this->ActiveUntil = this->Tasks.Now() + ActivePeriod;
  this->WorkAvailable.notify();
}

void WalletService::setHolders(bool IsSelfHolder, std::size_t Count) {
  bool BecameHolder = IsSelfHolder && !this->IsHolder;
  this->IsHolder = IsSelfHolder;
  this->LocalWallet.setHolders(IsSelfHolder, Count);
  if (BecameHolder)
    this->WorkAvailable.notify();
}

Result<void> WalletService::reserveNow(const std::string &Team, Tokens Amount) {
  auto Reservation = this->LocalWallet.reserve(Team, Amount, this->Tasks.Now());
  if (!Reservation && Reservation.error() == WalletError::NotInHand)
    this->LocalWallet.abandon(Team, Amount);
  return Reservation;
}

void WalletService::run() {
  while (!this->IsDrained) {
    TimePoint Now = this->Tasks.Now();
    if (!this->isActive(Now)) {
      if (this->IsStopping) {
        this->IsDrained = true;
        break;
      }
      this->Tasks.WaitOn(this->WorkAvailable, this->WorkAvailable.generation(),
                         Now + MaxInactiveWait);
      continue;
    }
    if (!this->LocalWallet.isReady() || this->LocalWallet.isRoundDue(Now)) {
      this->runRound();
      continue;
    }
    if (this->IsStopping && Now >= this->LocalWallet.nextRound()) {
      this->IsDrained = true;
      break;
    }
    std::uint64_t Generation = this->WorkAvailable.generation();
    TimePoint Next = this->LocalWallet.nextRound();
    if (Next <= Now)
      Next = Now + MaxIdleWait;
    this->Tasks.WaitOn(this->WorkAvailable, Generation,
                       std::min(Next, Now + MaxIdleWait));
  }
  this->StateChanged.notify();
}

void WalletService::beginStop() {
  this->LocalWallet.beginStop();
  this->IsStopping = true;
  this->WorkAvailable.notify();
}

void WalletService::stop(TimePoint Deadline) {
  this->beginStop();
  this->Tasks.waitUntil(this->StateChanged, Deadline,
                        [this] { return this->IsDrained; });
  this->IsDrained = true;
}

Result<void> WalletService::reserve(const std::string &Team, Tokens Amount,
                                    TimePoint Deadline,
                                    const std::function<bool()> &IsCancelled) {
  TimePoint Begin = this->Tasks.Now();
  TimePoint End = std::min(Deadline, Begin + MaxReservationWait);
  for (;;) {
    std::uint64_t Generation = this->StateChanged.generation();
    auto Reservation =
        this->LocalWallet.reserve(Team, Amount, this->Tasks.Now());
    if (Reservation || Reservation.error() == WalletError::Exhausted ||
        Reservation.error() == WalletError::NoBudget)
      return Reservation;
    bool IsDemandCounted = Reservation.error() == WalletError::NotInHand;
    this->activate();
    TimePoint Now = this->Tasks.Now();
    auto Backoff = this->StarvedUntil.find(Team);
    bool IsStarved =
        Backoff != this->StarvedUntil.end() && Now < Backoff->second;
    // No tokens can be obtained without the log, so waiting is pointless.
    if (Now >= End || this->IsLogLost || IsStarved || IsCancelled()) {
      if (IsDemandCounted)
        this->LocalWallet.abandon(Team, Amount);
      if (Now >= End)
        this->StarvedUntil[Team] = Now + StarvationBackoff;
      return Reservation;
    }
    this->Tasks.WaitOn(this->StateChanged, Generation,
                       std::min(End, Now + RetryInterval));
    if (IsDemandCounted)
      this->LocalWallet.abandon(Team, Amount);
  }
}

void WalletService::settle(const std::string &Team, Tokens Reserved,
                           Tokens Spent) {
  this->LocalWallet.settle(Team, Reserved, Spent, this->Tasks.Now());
}

} // namespace bergamothook
