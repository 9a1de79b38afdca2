#include "LibLoan/WalletService.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// The pause after a call of the log that failed.
constexpr Duration RetryPause = std::chrono::milliseconds(150);
/// The longest sleep of the task when nothing is due.
constexpr Duration IdlePause = std::chrono::milliseconds(200);
/// The longest that a request waits for tokens before it is refused as not run;
/// some rounds of a log that is well.
constexpr Duration LongestWait = std::chrono::milliseconds(600);
/// How long a request waits between two tries, when nothing tells of a change.
constexpr Duration TryPause = std::chrono::milliseconds(50);
/// How long requests of a team are refused at once after one waited in vain;
/// the next one then waits again, and so asks others to return tokens.
constexpr Duration StarvedTime = std::chrono::milliseconds(1000);
/// How long the log is followed after tokens were last asked for.
constexpr Duration ActiveTime = std::chrono::seconds(10);
/// The longest sleep of a task whose wallet is not in use.
constexpr Duration UnusedPause = std::chrono::minutes(10);

} // namespace

WalletService::WalletService(std::string Self, WalletPolicy Policy,
                             WalletLog Log, Runtime Tasks)
    : Purses(std::move(Self), Policy), Log(std::move(Log)),
      Tasks(std::move(Tasks)) {}

bool WalletService::setBudget(const std::string &Team, Tokens Budget) {
  if (!this->Purses.setBudget(Team, Budget))
    return false;
  if (this->IsHolder)
    this->Wanted.notify();
  return true;
}

void WalletService::noteLog(bool IsLost) {
  if (IsLost == this->IsLogLost)
    return;
  this->IsLogLost = IsLost;
  logEvent(IsLost ? LogLevel::Warning : LogLevel::Info,
           IsLost ? "wallet_log_lost" : "wallet_log_regained",
           {{"offset", this->Purses.shareTable().end()},
            {"teams", this->describeTeams()}});
}

nlohmann::json WalletService::describeTeams() const {
  nlohmann::json Teams = nlohmann::json::object();
  for (const std::string &Team : this->Purses.teams()) {
    WalletView Seen = this->Purses.view(Team);
    Teams[Team] = {{"budget", Seen.Budget},
                   {"in_hand", Seen.Limit - Seen.Spent - Seen.Reserved},
                   {"spent", Seen.Spent},
                   {"others_hold", Seen.Others.Held},
                   {"others_committed", Seen.Others.Committed}};
  }
  return Teams;
}

bool WalletService::catchUp() {
  bool HadRead = this->Purses.isReady();
  auto Page = HadRead ? this->Log.Read(this->Purses.shareTable().end())
                      : this->Log.ReadNewest();
  if (!Page && Page.error() == std::errc::result_out_of_range) {
    logEvent(LogLevel::Warning, "wallet_log_trimmed",
             {{"offset", this->Purses.shareTable().end()}});
    this->Purses.clearShareTable();
    return false;
  }
  this->noteLog(!Page);
  if (!Page)
    return false;
  this->Purses.onRead(Page.value().Records, Page.value().End,
                      this->Tasks.Now());
  if (!HadRead)
    logEvent(LogLevel::Info, "wallets_read",
             {{"end", Page.value().End},
              {"processes", this->Purses.shareTable().processes()},
              {"teams", this->describeTeams()}});
  this->Changed.notify();
  return true;
}

void WalletService::runRound() {
  if (!this->catchUp()) {
    this->Tasks.sleepUntil(this->Tasks.Now() + RetryPause);
    return;
  }
  std::vector<WalletRecord> Records = this->Purses.planRound(this->Tasks.Now());
  if (Records.empty())
    return;
  switch (this->Log.AppendAt(this->Purses.shareTable().end(), Records)) {
  case WalletAppend::Done:
    this->Purses.onAppended(this->Purses.shareTable().end() + Records.size(),
                            this->Tasks.Now());
    this->Changed.notify();
    return;
  case WalletAppend::Moved:
    this->Purses.onRefused();
    return;
  case WalletAppend::Refused:
    this->Purses.onRefused();
    break;
  case WalletAppend::Unanswered:
    this->Purses.onUnanswered();
    break;
  }
  this->noteLog(true);
  this->Changed.notify();
  this->Tasks.sleepUntil(this->Tasks.Now() + RetryPause);
}

bool WalletService::isActive(TimePoint Now) const {
  return (this->IsHolder && !this->IsStopping && this->Purses.hasTeams()) ||
         Now < this->ActiveUntil || this->Purses.isInUse();
}

void WalletService::wake() {
  this->ActiveUntil = this->Tasks.Now() + ActiveTime;
  this->Wanted.notify();
}

void WalletService::setHolders(bool IsOneOfThem, std::size_t Count) {
  bool IsNew = IsOneOfThem && !this->IsHolder;
  this->IsHolder = IsOneOfThem;
  this->Purses.setHolders(IsOneOfThem, Count);
  if (IsNew)
    this->Wanted.notify();
}

Result<void> WalletService::reserveNow(const std::string &Team, Tokens Amount) {
  auto Verdict = this->Purses.reserve(Team, Amount, this->Tasks.Now());
  if (!Verdict && Verdict.error() == WalletError::NotInHand)
    this->Purses.abandon(Team, Amount);
  return Verdict;
}

void WalletService::run() {
  while (!this->IsDrained) {
    TimePoint Now = this->Tasks.Now();
    if (!this->isActive(Now)) {
      if (this->IsStopping) {
        this->IsDrained = true;
        break;
      }
      this->Tasks.WaitOn(this->Wanted, this->Wanted.generation(),
                         Now + UnusedPause);
      continue;
    }
    if (!this->Purses.isReady() || this->Purses.isRoundDue(Now)) {
      this->runRound();
      continue;
    }
    if (this->IsStopping && Now >= this->Purses.nextRound()) {
      this->IsDrained = true;
      break;
    }
    std::uint64_t Seen = this->Wanted.generation();
    TimePoint Next = this->Purses.nextRound();
    if (Next <= Now)
      Next = Now + IdlePause;
    this->Tasks.WaitOn(this->Wanted, Seen, std::min(Next, Now + IdlePause));
  }
  this->Changed.notify();
}

void WalletService::beginStop() {
  this->Purses.beginStop();
  this->IsStopping = true;
  this->Wanted.notify();
}

void WalletService::stop(TimePoint Deadline) {
  this->beginStop();
  this->Tasks.waitUntil(this->Changed, Deadline,
                        [this] { return this->IsDrained; });
  this->IsDrained = true;
}

Result<void> WalletService::reserve(const std::string &Team, Tokens Amount,
                                    TimePoint Deadline,
                                    const std::function<bool()> &IsGivenUp) {
  TimePoint Begin = this->Tasks.Now();
  TimePoint End = std::min(Deadline, Begin + LongestWait);
  for (;;) {
    std::uint64_t Seen = this->Changed.generation();
    auto Verdict = this->Purses.reserve(Team, Amount, this->Tasks.Now());
    if (Verdict || Verdict.error() == WalletError::Exhausted)
      return Verdict;
    bool IsCounted = Verdict.error() == WalletError::NotInHand;
    this->wake();
    TimePoint Now = this->Tasks.Now();
    auto Starved = this->StarvedUntil.find(Team);
    bool IsStarved =
        Starved != this->StarvedUntil.end() && Now < Starved->second;
    // Without the log no tokens come, so the wait would be for nothing.
    if (Now >= End || this->IsLogLost || IsStarved || IsGivenUp()) {
      if (IsCounted)
        this->Purses.abandon(Team, Amount);
      if (Now >= End)
        this->StarvedUntil[Team] = Now + StarvedTime;
      return Verdict;
    }
    this->Tasks.WaitOn(this->Changed, Seen, std::min(End, Now + TryPause));
    if (IsCounted)
      this->Purses.abandon(Team, Amount);
  }
}

void WalletService::settle(const std::string &Team, Tokens Reserved,
                           Tokens Spent) {
  this->Purses.settle(Team, Reserved, Spent, this->Tasks.Now());
}

} // namespace bergamothook
