#include "LibWallet/Wallet.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

namespace {

/// Bounds the records of one append.
constexpr std::size_t MaxWitnessedRecords = 128;

} // namespace

Tokens Wallet::TeamAccount::limit() const {
  return this->MinUnresolvedHeld
             ? std::min(this->Held, *this->MinUnresolvedHeld)
             : this->Held;
}

Wallet::Wallet(std::string Self, WalletPolicy Policy)
    : Self(std::move(Self)), Policy(Policy) {}

bool Wallet::setBudget(const std::string &Team, Tokens Budget) {
  TeamAccount &Account = this->Accounts[Team];
  bool HasChanged = Account.Budget != Budget;
  Account.Budget = Budget;
  return HasChanged;
}

void Wallet::forgetBudget(const std::string &Team) {
  auto Found = this->Accounts.find(Team);
  if (Found != this->Accounts.end())
    Found->second.Budget.reset();
}

bool Wallet::hasBudgets() const {
  return std::any_of(
      this->Accounts.begin(), this->Accounts.end(),
      [](const auto &Entry) { return Entry.second.Budget.has_value(); });
}

Result<void> Wallet::reserve(const std::string &Team, Tokens Amount,
                             TimePoint Now) {
  TeamAccount &Account = this->Accounts[Team];
  if (!Account.Budget)
    return WalletError::NoBudget;
  if (Account.committed() + Amount <= Account.limit()) {
    Account.Reserved += Amount;
    Account.LargestRequest = std::max(Account.LargestRequest, Amount);
    this->addToRate(Account, Amount, Now);
    return success();
  }
  if (!this->HasRead)
    return WalletError::NotReady;
  WalletShare Others = this->ShareTable.sumOfOthers(Team, this->Self);
  bool IsFresh =
      this->viewAge(Now) <= this->Policy.MaxViewAge && !this->isInGrace(Now);
  if (IsFresh &&
      Account.committed() + Amount > *Account.Budget - Others.Committed)
    return WalletError::Exhausted;
  Account.PendingDemand += Amount;
  return WalletError::NotInHand;
}

void Wallet::abandon(const std::string &Team, Tokens Amount) {
  TeamAccount &Account = this->Accounts[Team];
  Account.PendingDemand = std::max<Tokens>(0, Account.PendingDemand - Amount);
}

double Wallet::decayedRate(const TeamAccount &Account, TimePoint Now) const {
  return Account.Rate * std::exp(-secondsOf(Now - Account.RateUpdatedAt) /
                                 secondsOf(this->Policy.RateWindow));
}

double Wallet::rateOf(const TeamAccount &Account, TimePoint Now) const {
  // The decayed average underestimates the rate while the elapsed time is short
  // compared with the window; the divisor corrects for this.
  constexpr double MinSeconds = 1;
  double Elapsed = std::max(MinSeconds, secondsOf(Now - Account.RateStartedAt));
  return this->decayedRate(Account, Now) /
         (1 - std::exp(-Elapsed / secondsOf(this->Policy.RateWindow)));
}

void Wallet::addToRate(TeamAccount &Account, Tokens Amount,
                       TimePoint Now) const {
  double Added =
      static_cast<double>(Amount) / secondsOf(this->Policy.RateWindow);
  if (Account.Rate <= 0)
    Account.RateStartedAt = Now;
  Account.Rate = std::max(0.0, this->decayedRate(Account, Now) + Added);
  Account.RateUpdatedAt = Now;
}

void Wallet::settle(const std::string &Team, Tokens Reserved, Tokens Spent,
                    TimePoint Now) {
  TeamAccount &Account = this->Accounts[Team];
  Account.Reserved -= Reserved;
  Account.Spent += Spent;
  this->addToRate(Account, Spent - Reserved, Now);
}

void Wallet::onRead(const std::vector<WalletRecord> &Records, std::uint64_t End,
                    TimePoint Now) {
  for (const WalletRecord &Record : Records) {
    // This process knows its share better than a copy of it.
    bool IsCopy = Record.Share.Era < this->era() || Record.Share.IsWitnessed ||
                  Record.IsUnreadable;
    if (Record.Key.Process == this->Self && IsCopy)
      this->ShareTable.setOwnOnLog(Record);
    else
      this->ShareTable.apply(Record, Now);
  }
  this->ShareTable.advanceTo(End);
  // A process that starts can't tell how long ago the log was restored.
  if (!this->HasRead && (this->IsRestored || !this->ShareTable.areAllCurrent()))
    this->GraceEnd = Now + this->Policy.RestoreGrace;
  this->IsRestored = false;
  this->HasRead = true;
  this->HasEra = true;
  this->ReadAt = Now;
  this->refreshFromLog();
}

void Wallet::refreshFromLog() {
  // An append succeeds only at its expected offset. Once the log extends past
  // that offset, the outcome of an unanswered append is known.
  bool IsResolved = !this->UnresolvedOffset ||
                    this->ShareTable.end() > *this->UnresolvedOffset;
  for (auto &[Team, Account] : this->Accounts) {
    WalletShare OnLog = this->ShareTable.shareOf({Team, this->Self});
    Account.Held = OnLog.Held;
    Account.CommittedOnLog = OnLog.Committed;
    Account.UnmetDemandOnLog = OnLog.UnmetDemand;
    if (IsResolved)
      Account.MinUnresolvedHeld.reset();
  }
  if (IsResolved)
    this->UnresolvedOffset.reset();
}

void Wallet::rewind() {
  this->ShareTable.rewind();
  this->HasRead = false;
}

void Wallet::beginEra(std::uint64_t Next) {
  this->IsRestored = this->HasEra;
  this->HasEra = true;
  this->HasRead = false;
  this->LastRound = {};
  this->InFlight.clear();
  this->UnresolvedOffset.reset();
  for (auto &[Team, Account] : this->Accounts) {
    WalletKey Key = {Team, this->Self};
    Tokens Limit = Account.limit();
    Account.MinUnresolvedHeld.reset();
    if (Limit == Account.Held)
      continue;
    // What an unresolved append gave back may be taken by others.
    WalletShare Own = this->ShareTable.shareOf(Key);
    Own.Held = Limit;
    Account.Held = Limit;
    this->ShareTable.setOwn(Key, Own);
  }
  this->ShareTable.beginEra(Next);
}

void Wallet::onNotice(const WalletRecord &Record) {
  if (Record.Key.Process != this->Self)
    this->ShareTable.applyNotice(Record);
}

std::vector<WalletRecord> Wallet::ownShares() const {
  std::vector<WalletRecord> Out;
  for (const auto &[Team, Account] : this->Accounts) {
    if (Account.Held == 0)
      continue;
    WalletKey Key = {Team, this->Self};
    WalletShare Share;
    Share.Held = Account.Held;
    Share.Committed = Account.committed();
    Share.Era = this->era();
    Out.push_back({Key, Share, this->ShareTable.offsetOf(Key)});
  }
  return Out;
}

Tokens Wallet::availableFor(const std::string &Team,
                            const TeamAccount &Account) const {
  if (!Account.Budget)
    return 0;
  Tokens HeldByOthers = this->ShareTable.sumOfOthers(Team, this->Self).Held;
  return std::max<Tokens>(0,
                          *Account.Budget - HeldByOthers - Account.committed());
}

Tokens Wallet::unmetDemandOfOthers(const std::string &Team,
                                   TimePoint Now) const {
  return this->ShareTable
      .recentOfOthers(Team, this->Self, Now - this->Policy.DemandTimeout)
      .UnmetDemand;
}

Wallet::IdleBounds Wallet::idleBounds(const std::string &Team,
                                      const TeamAccount &Account,
                                      Tokens Available, TimePoint Now) const {
  TimePoint Since = Now - this->Policy.ProcessTimeout;
  auto Processes = static_cast<double>(
      std::max(this->Holders, this->ShareTable.processesSince(Since)));
  auto OthersRate = static_cast<double>(
      this->ShareTable.recentOfOthers(Team, this->Self, Since).Rate);
  double OwnRate = this->rateOf(Account, Now);
  auto FractionOfAvailable = [Available](double Fraction) {
    return static_cast<Tokens>(static_cast<double>(Available) * Fraction);
  };
  if (OwnRate + OthersRate < 1) {
    Tokens Initial =
        this->IsHolder
            ? FractionOfAvailable(1 / (Processes * this->Policy.InitialDivisor))
            : 0;
    return {Initial, Initial};
  }
  // Fractions are relative to the unallocated tokens. Available also includes
  // this process's idle tokens, so a ratio x of unallocated tokens is
  // x / (1 + x) of Available.
  double ScarcityFactor =
      std::min(1.0, static_cast<double>(Available) /
                        (static_cast<double>(Account.Budget.value_or(0)) *
                             this->Policy.ScarcityFraction +
                         1));
  auto IdleTokensFor = [&](double Fraction) {
    double Ratio = ScarcityFactor * Fraction / this->Policy.UnallocatedFraction;
    return FractionOfAvailable(Ratio / (1 + Ratio));
  };
  double Min = this->IsHolder ? this->Policy.MinIdleFraction / Processes : 0;
  // Holders without spending return tokens only above twice their target, hence
  // the factor of 2.
  double RateFraction = (1 - 2 * this->Policy.MinIdleFraction -
                         this->Policy.UnallocatedFraction) *
                        OwnRate / (OwnRate + OthersRate);
  return {IdleTokensFor(Min), IdleTokensFor(Min + RateFraction)};
}

Tokens Wallet::idleTarget(const std::string &Team, const TeamAccount &Account,
                          Tokens Available, TimePoint Now) const {
  if (this->IsStopping)
    return 0;
  IdleBounds Bounds = this->idleBounds(Team, Account, Available, Now);
  auto CoverTokens = static_cast<Tokens>(this->rateOf(Account, Now) *
                                         secondsOf(this->Policy.OutageCover));
  Tokens Uncontended =
      std::clamp(CoverTokens + Account.LargestRequest, Bounds.Min, Bounds.Max);
  // Releases what other processes wait for, but keeps a minimum.
  Tokens Contended =
      std::max(Uncontended - this->unmetDemandOfOthers(Team, Now),
               Bounds.Max / this->Policy.ContendedDivisor);
  return std::min(Uncontended, Contended);
}

Tokens Wallet::heldTarget(const std::string &Team, const TeamAccount &Account,
                          TimePoint Now) const {
  Tokens Available = this->availableFor(Team, Account);
  Tokens Idle = this->idleTarget(Team, Account, Available, Now);
  Tokens Demand = this->IsStopping ? 0 : Account.PendingDemand;
  Tokens Target =
      Account.committed() + std::min(Available, std::max(Idle, Demand));
  return this->isInGrace(Now) ? std::min(Target, Account.limit()) : Target;
}

Tokens Wallet::unmetDemand(const std::string &Team,
                           const TeamAccount &Account) const {
  return this->IsStopping
             ? 0
             : std::max<Tokens>(0, Account.PendingDemand -
                                       this->availableFor(Team, Account));
}

bool Wallet::needsRecord(const std::string &Team, const TeamAccount &Account,
                         TimePoint Now) const {
  if (!Account.Budget && Account.Held == 0)
    return false;
  if (Account.Held > 0 && !this->ShareTable.isCurrent({Team, this->Self}))
    return true;
  Tokens Target = this->heldTarget(Team, Account, Now);
  if (this->IsStopping)
    return Account.Held != Target;
  Tokens IdleTarget = Target - Account.committed();
  Tokens Idle = Account.limit() - Account.committed();
  if (Account.PendingDemand > 0 && Target > Account.Held)
    return true;
  if ((Account.UnmetDemandOnLog > 0) != (this->unmetDemand(Team, Account) > 0))
    return true;
  bool IsBelowTarget =
      static_cast<double>(Idle) <
      static_cast<double>(IdleTarget) * this->Policy.RefillFraction;
  bool IsAboveTarget = Idle > 2 * IdleTarget;
  // Other processes reject requests that would need tokens whose return has not
  // been reported on the log.
  Tokens Unreported = std::abs(Account.CommittedOnLog - Account.committed());
  bool IsContended = this->unmetDemandOfOthers(Team, Now) > 0;
  Tokens MaxUnreported =
      IsContended ? 0
                  : Account.Budget.value_or(0) / this->Policy.UnreportedDivisor;
  return IsBelowTarget || IsAboveTarget || Unreported > MaxUnreported;
}

bool Wallet::hasPendingDemand() const {
  return std::any_of(
      this->Accounts.begin(), this->Accounts.end(),
      [](const auto &Entry) { return Entry.second.PendingDemand > 0; });
}

TimePoint Wallet::nextRound() const {
  Duration Interval = this->Policy.IdleRoundInterval;
  if (this->IsStopping)
    Interval = this->Policy.PendingRoundInterval;
  else if (this->hasPendingDemand())
    Interval = this->WasStarved ? this->Policy.StarvedRoundInterval
                                : this->Policy.PendingRoundInterval;
  return this->LastRound + Interval;
}

bool Wallet::isRoundDue(TimePoint Now) const {
  if (Now < this->nextRound())
    return false;
  return this->hasPendingDemand() ||
         this->viewAge(Now) >= this->Policy.ReadInterval ||
         std::any_of(this->Accounts.begin(), this->Accounts.end(),
                     [&](const auto &Entry) {
                       return this->needsRecord(Entry.first, Entry.second, Now);
                     });
}

std::vector<WalletRecord> Wallet::planRound(TimePoint Now) {
  this->LastRound = Now;
  this->WasStarved = this->hasPendingDemand();
  this->InFlight.clear();
  for (auto &[Team, Account] : this->Accounts) {
    if (!this->needsRecord(Team, Account, Now))
      continue;
    if (Account.PendingDemand > 0 &&
        this->unmetDemand(Team, Account) < Account.PendingDemand)
      this->WasStarved = false;
    WalletShare Share{this->heldTarget(Team, Account, Now),
                      Account.committed(),
                      this->unmetDemand(Team, Account),
                      static_cast<Tokens>(this->rateOf(Account, Now)),
                      this->era(),
                      false};
    Account.MinUnresolvedHeld =
        std::min(Account.MinUnresolvedHeld.value_or(Share.Held), Share.Held);
    this->InFlight.push_back({{Team, this->Self}, Share, 0});
  }
  // First, other processes have the time to state their shares themselves.
  if (Now >= this->GraceEnd - this->Policy.RestoreGrace / 2) {
    std::vector<WalletRecord> Witnessed =
        this->ShareTable.witnessedRecords(this->Self, MaxWitnessedRecords);
    this->InFlight.insert(this->InFlight.end(), Witnessed.begin(),
                          Witnessed.end());
  }
  if (!this->InFlight.empty())
    this->UnresolvedOffset = this->ShareTable.end();
  return this->InFlight;
}

void Wallet::onAppended(std::uint64_t End, TimePoint Now) {
  std::uint64_t NextOffset = End - this->InFlight.size();
  for (WalletRecord &Record : this->InFlight) {
    Record.Offset = NextOffset++;
    this->ShareTable.apply(Record, Now);
  }
  this->InFlight.clear();
  this->ShareTable.advanceTo(End);
  this->ReadAt = Now;
  this->refreshFromLog();
}

void Wallet::onRefused() { this->InFlight.clear(); }

void Wallet::onUnanswered() { this->InFlight.clear(); }

void Wallet::setHolders(bool IsIdleHolder, std::size_t HolderCount) {
  this->IsHolder = IsIdleHolder;
  this->Holders = std::max<std::size_t>(1, HolderCount);
}

bool Wallet::isInUse() const {
  return std::any_of(
      this->Accounts.begin(), this->Accounts.end(), [](const auto &Entry) {
        const TeamAccount &Account = Entry.second;
        return Account.Reserved > 0 || Account.PendingDemand > 0 ||
               Account.limit() > Account.Spent || Account.UnmetDemandOnLog > 0;
      });
}

void Wallet::beginStop() { this->IsStopping = true; }

WalletView Wallet::view(const std::string &Team) const {
  auto Found = this->Accounts.find(Team);
  if (Found == this->Accounts.end())
    return {};
  const TeamAccount &Account = Found->second;
  return {Account.Budget.value_or(0),
          Account.Held,
          Account.limit(),
          Account.Spent,
          Account.Reserved,
          this->ShareTable.sumOfOthers(Team, this->Self)};
}

std::vector<std::string> Wallet::teams() const {
  std::vector<std::string> Names;
  for (const auto &[Team, Account] : this->Accounts)
    Names.push_back(Team);
  return Names;
}

} // namespace bergamothook
