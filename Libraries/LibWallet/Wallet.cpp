#include "LibWallet/Wallet.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

Tokens Wallet::Purse::limit() const {
  return this->HeldIfLanded ? std::min(this->Held, *this->HeldIfLanded)
                            : this->Held;
}

Wallet::Wallet(std::string Self, WalletPolicy Policy)
    : Self(std::move(Self)), Policy(Policy) {}

bool Wallet::setBudget(const std::string &Team, Tokens Budget) {
  Purse &Own = this->Purses[Team];
  bool IsNew = Own.Budget != Budget;
  Own.Budget = Budget;
  return IsNew;
}

Result<void> Wallet::reserve(const std::string &Team, Tokens Amount,
                             TimePoint Now) {
  Purse &Own = this->Purses[Team];
  if (Own.committed() + Amount <= Own.limit()) {
    Own.Reserved += Amount;
    Own.Largest = std::max(Own.Largest, Amount);
    this->addToRate(Own, Amount, Now);
    return success();
  }
  if (!this->HasRead)
    return WalletError::NotReady;
  if (!Own.Budget)
    return WalletError::Exhausted;
  WalletShare Others = this->ShareTable.sumOfOthers(Team, this->Self);
  bool IsFresh = this->viewAge(Now) <= this->Policy.FreshView;
  if (IsFresh && Own.committed() + Amount > *Own.Budget - Others.Committed)
    return WalletError::Exhausted;
  Own.Wanted += Amount;
  return WalletError::NotInHand;
}

void Wallet::abandon(const std::string &Team, Tokens Amount) {
  Purse &Own = this->Purses[Team];
  Own.Wanted = std::max<Tokens>(0, Own.Wanted - Amount);
}

double Wallet::decayedRate(const Purse &Own, TimePoint Now) const {
  return Own.Rate * std::exp(-secondsOf(Now - Own.RateAt) /
                             secondsOf(this->Policy.RateWindow));
}

double Wallet::rateOf(const Purse &Own, TimePoint Now) const {
  // The average of a span much shorter than the window is too low by the part
  // of the window that has not passed.
  constexpr double LeastSeconds = 1;
  double Seen = std::max(LeastSeconds, secondsOf(Now - Own.RateSince));
  return this->decayedRate(Own, Now) /
         (1 - std::exp(-Seen / secondsOf(this->Policy.RateWindow)));
}

void Wallet::addToRate(Purse &Own, Tokens Amount, TimePoint Now) const {
  double Added =
      static_cast<double>(Amount) / secondsOf(this->Policy.RateWindow);
  if (Own.Rate <= 0)
    Own.RateSince = Now;
  Own.Rate = std::max(0.0, this->decayedRate(Own, Now) + Added);
  Own.RateAt = Now;
}

void Wallet::settle(const std::string &Team, Tokens Reserved, Tokens Spent,
                    TimePoint Now) {
  Purse &Own = this->Purses[Team];
  Own.Reserved -= Reserved;
  Own.Spent += Spent;
  this->addToRate(Own, Spent - Reserved, Now);
}

void Wallet::onRead(const std::vector<WalletRecord> &Records, std::uint64_t End,
                    TimePoint Now) {
  for (const WalletRecord &Record : Records)
    this->ShareTable.apply(Record, Now);
  this->ShareTable.advanceTo(End);
  this->HasRead = true;
  this->ReadAt = Now;
  this->resolve();
}

void Wallet::resolve() {
  // An unanswered append was to land at a stated offset; once another record
  // stands there it can't land any more.
  bool IsSettled =
      !this->UnresolvedAt || this->ShareTable.end() > *this->UnresolvedAt;
  for (auto &[Team, Own] : this->Purses) {
    WalletShare OnLog = this->ShareTable.shareOf({Team, this->Self});
    Own.Held = OnLog.Held;
    Own.CommittedOnLog = OnLog.Committed;
    Own.WantedOnLog = OnLog.Wanted;
    if (IsSettled)
      Own.HeldIfLanded.reset();
  }
  if (IsSettled)
    this->UnresolvedAt.reset();
}

void Wallet::clearShareTable() {
  this->ShareTable.clear();
  this->HasRead = false;
}

Tokens Wallet::freeFor(const std::string &Team, const Purse &Own) const {
  if (!Own.Budget)
    return 0;
  Tokens OthersHold = this->ShareTable.sumOfOthers(Team, this->Self).Held;
  return std::max<Tokens>(0, *Own.Budget - OthersHold - Own.committed());
}

Tokens Wallet::wantedByOthers(const std::string &Team, TimePoint Now) const {
  return this->ShareTable
      .recentOfOthers(Team, this->Self, Now - this->Policy.WantedLifetime)
      .Wanted;
}

Wallet::IdleBounds Wallet::idleBounds(const std::string &Team, const Purse &Own,
                                      Tokens Free, TimePoint Now) const {
  TimePoint Since = Now - this->Policy.ProcessLifetime;
  auto Processes = static_cast<double>(
      std::max(this->Holders, this->ShareTable.processesSince(Since)));
  auto OthersRate = static_cast<double>(
      this->ShareTable.recentOfOthers(Team, this->Self, Since).Rate);
  double OwnRate = this->rateOf(Own, Now);
  auto PartOfFree = [Free](double Part) {
    return static_cast<Tokens>(static_cast<double>(Free) * Part);
  };
  if (OwnRate + OthersRate < 1) {
    Tokens Start = this->IsHolder
                       ? PartOfFree(1 / (Processes * this->Policy.StartDivisor))
                       : 0;
    return {Start, Start};
  }
  // Against what stays in nobody's hand. Free holds the own idle tokens too, so
  // that x of the former is x / (1 + x) of the latter.
  double Plenty =
      std::min(1.0, static_cast<double>(Free) /
                        (static_cast<double>(Own.Budget.value_or(0)) *
                             this->Policy.ScarceBelow +
                         1));
  auto Against = [&](double Part) {
    double Ratio = Plenty * Part / this->Policy.FreePart;
    return PartOfFree(Ratio / (1 + Ratio));
  };
  double Least = this->IsHolder ? this->Policy.LeastPart / Processes : 0;
  // Idle holders give back only what is over twice their part.
  double ByRate = (1 - 2 * this->Policy.LeastPart - this->Policy.FreePart) *
                  OwnRate / (OwnRate + OthersRate);
  return {Against(Least), Against(Least + ByRate)};
}

Tokens Wallet::idleTarget(const std::string &Team, const Purse &Own,
                          Tokens Free, TimePoint Now) const {
  if (this->IsStopping)
    return 0;
  IdleBounds Bounds = this->idleBounds(Team, Own, Free, Now);
  auto Cover = static_cast<Tokens>(this->rateOf(Own, Now) *
                                   secondsOf(this->Policy.Cover));
  Tokens Calm = std::clamp(Cover + Own.Largest, Bounds.Least, Bounds.Most);
  // What others wait for is given up, but not all that is in hand with it.
  Tokens Kept = std::max(Calm - this->wantedByOthers(Team, Now),
                         Bounds.Most / this->Policy.WantedDivisor);
  return std::min(Calm, Kept);
}

Tokens Wallet::heldTarget(const std::string &Team, const Purse &Own,
                          TimePoint Now) const {
  Tokens Free = this->freeFor(Team, Own);
  Tokens Idle = this->idleTarget(Team, Own, Free, Now);
  Tokens Wanted = this->IsStopping ? 0 : Own.Wanted;
  return Own.committed() + std::min(Free, std::max(Idle, Wanted));
}

Tokens Wallet::missing(const std::string &Team, const Purse &Own) const {
  return this->IsStopping
             ? 0
             : std::max<Tokens>(0, Own.Wanted - this->freeFor(Team, Own));
}

bool Wallet::needsRecord(const std::string &Team, const Purse &Own,
                         TimePoint Now) const {
  if (!Own.Budget && Own.Held == 0)
    return false;
  Tokens Target = this->heldTarget(Team, Own, Now);
  if (this->IsStopping)
    return Own.Held != Target;
  Tokens IdleTarget = Target - Own.committed();
  Tokens Idle = Own.limit() - Own.committed();
  if (Own.Wanted > 0 && Target > Own.Held)
    return true;
  if ((Own.WantedOnLog > 0) != (this->missing(Team, Own) > 0))
    return true;
  bool IsShort = static_cast<double>(Idle) <
                 static_cast<double>(IdleTarget) * this->Policy.RefillBelow;
  bool IsExcess = Idle > 2 * IdleTarget;
  // What others can't see returned, they refuse requests for.
  Tokens Unseen = std::abs(Own.CommittedOnLog - Own.committed());
  bool IsAwaited = this->wantedByOthers(Team, Now) > 0;
  Tokens MostUnseen =
      IsAwaited ? 0 : Own.Budget.value_or(0) / this->Policy.UnseenDivisor;
  return IsShort || IsExcess || Unseen > MostUnseen;
}

bool Wallet::isWanted() const {
  return std::any_of(this->Purses.begin(), this->Purses.end(),
                     [](const auto &Entry) { return Entry.second.Wanted > 0; });
}

TimePoint Wallet::nextRound() const {
  Duration Interval = this->Policy.CalmInterval;
  if (this->IsStopping)
    Interval = this->Policy.UrgentInterval;
  else if (this->isWanted())
    Interval = this->WasInVain ? this->Policy.VainInterval
                               : this->Policy.UrgentInterval;
  return this->LastRound + Interval;
}

bool Wallet::isRoundDue(TimePoint Now) const {
  if (Now < this->nextRound())
    return false;
  return this->isWanted() || this->viewAge(Now) >= this->Policy.ReadInterval ||
         std::any_of(this->Purses.begin(), this->Purses.end(),
                     [&](const auto &Entry) {
                       return this->needsRecord(Entry.first, Entry.second, Now);
                     });
}

std::vector<WalletRecord> Wallet::planRound(TimePoint Now) {
  this->LastRound = Now;
  this->WasInVain = this->isWanted();
  this->OnWay.clear();
  for (auto &[Team, Own] : this->Purses) {
    if (!this->needsRecord(Team, Own, Now))
      continue;
    if (Own.Wanted > 0 && this->missing(Team, Own) < Own.Wanted)
      this->WasInVain = false;
    WalletShare Share{this->heldTarget(Team, Own, Now), Own.committed(),
                      this->missing(Team, Own),
                      static_cast<Tokens>(this->rateOf(Own, Now))};
    Own.HeldIfLanded =
        std::min(Own.HeldIfLanded.value_or(Share.Held), Share.Held);
    this->OnWay.push_back({{Team, this->Self}, Share, 0});
  }
  if (!this->OnWay.empty())
    this->UnresolvedAt = this->ShareTable.end();
  return this->OnWay;
}

void Wallet::onAppended(std::uint64_t End, TimePoint Now) {
  std::uint64_t At = End - this->OnWay.size();
  for (WalletRecord &Record : this->OnWay) {
    Record.Offset = At++;
    this->ShareTable.apply(Record, Now);
  }
  this->OnWay.clear();
  this->ShareTable.advanceTo(End);
  this->ReadAt = Now;
  this->resolve();
}

void Wallet::onRefused() { this->OnWay.clear(); }

void Wallet::onUnanswered() { this->OnWay.clear(); }

void Wallet::setHolders(bool IsOneOfThem, std::size_t Count) {
  this->IsHolder = IsOneOfThem;
  this->Holders = std::max<std::size_t>(1, Count);
}

bool Wallet::isInUse() const {
  return std::any_of(this->Purses.begin(), this->Purses.end(),
                     [](const auto &Entry) {
                       const Purse &Own = Entry.second;
                       return Own.Reserved > 0 || Own.Wanted > 0 ||
                              Own.limit() > Own.Spent || Own.WantedOnLog > 0;
                     });
}

void Wallet::beginStop() { this->IsStopping = true; }

WalletView Wallet::view(const std::string &Team) const {
  auto Found = this->Purses.find(Team);
  if (Found == this->Purses.end())
    return {};
  const Purse &Own = Found->second;
  return {Own.Budget.value_or(0),
          Own.Held,
          Own.limit(),
          Own.Spent,
          Own.Reserved,
          this->ShareTable.sumOfOthers(Team, this->Self)};
}

std::vector<std::string> Wallet::teams() const {
  std::vector<std::string> Names;
  for (const auto &[Team, Own] : this->Purses)
    Names.push_back(Team);
  return Names;
}

} // namespace bergamothook
