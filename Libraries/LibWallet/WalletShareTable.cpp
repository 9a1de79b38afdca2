#include "LibWallet/WalletShareTable.h"

#include <algorithm>

namespace bergamothook {

void WalletShareTable::setShare(const std::string &Team, Entry &Position,
                                const WalletShare &Share) {
  WalletShare &Sum = this->TeamTotals[Team];
  Sum.Held += Share.Held - Position.Share.Held;
  Sum.Committed += Share.Committed - Position.Share.Committed;
  Sum.UnmetDemand += Share.UnmetDemand - Position.Share.UnmetDemand;
  Sum.Rate += Share.Rate - Position.Share.Rate;
  Position.Share = Share;
}

void WalletShareTable::apply(const WalletRecord &Record, TimePoint Now) {
  Entry &Position = this->Entries[Record.Key];
  if (Position.HasRecord && Record.Offset < Position.Offset)
    return;
  Position.HasRecord = true;
  Position.Offset = Record.Offset;
  Position.HeldOnLog = Record.Share.Held;
  Position.CommittedOnLog = Record.Share.Committed;
  bool IsCurrent = Record.Share.Era >= this->Era && !Record.Share.IsWitnessed &&
                   !Record.IsUnreadable;
  // An append of an earlier era may land late.
  if (Position.IsCurrent && !IsCurrent && !Record.IsUnreadable)
    return;
  WalletShare Share = Record.Share;
  if (!IsCurrent) {
    Share.Held = std::max(Share.Held, Position.Share.Held);
    Share.Committed = std::max(Share.Committed, Position.Share.Committed);
  }
  Position.IsCurrent = IsCurrent;
  Position.IsCarried &= !IsCurrent;
  Position.ReadAt = Now;
  this->setShare(Record.Key.Team, Position, Share);
  this->LastReadTimes[Record.Key.Process] = Now;
}

void WalletShareTable::advanceTo(std::uint64_t Offset) {
  this->End = std::max(this->End, Offset);
}

void WalletShareTable::beginEra(std::uint64_t Next) {
  this->Era = Next;
  this->End = 0;
  for (auto &[Key, Position] : this->Entries) {
    Position.HeldOnLog = 0;
    Position.CommittedOnLog = 0;
    Position.HasRecord = false;
    Position.IsCurrent = false;
    Position.IsCarried = true;
  }
}

void WalletShareTable::applyNotice(const WalletRecord &Record) {
  Entry &Position = this->Entries[Record.Key];
  bool IsOlder = Record.Share.Era < this->Era
                     ? Position.IsCurrent
                     : Record.Share.Era == this->Era && Position.HasRecord &&
                           Record.Offset < Position.Offset;
  if (IsOlder)
    return;
  WalletShare Share = Position.Share;
  Share.Held = std::max(Share.Held, Record.Share.Held);
  Share.Committed = std::max(Share.Committed, Record.Share.Committed);
  this->setShare(Record.Key.Team, Position, Share);
}

std::uint64_t WalletShareTable::offsetOf(const WalletKey &Key) const {
  auto Found = this->Entries.find(Key);
  return Found == this->Entries.end() ? 0 : Found->second.Offset;
}

void WalletShareTable::setOwn(const WalletKey &Key, const WalletShare &Share) {
  this->setShare(Key.Team, this->Entries[Key], Share);
}

void WalletShareTable::setOwnOnLog(const WalletRecord &Record) {
  Entry &Position = this->Entries[Record.Key];
  if (Position.HasRecord && Record.Offset < Position.Offset)
    return;
  Position.HasRecord = true;
  Position.Offset = Record.Offset;
  Position.HeldOnLog = Record.Share.Held;
  Position.CommittedOnLog = Record.Share.Committed;
}

bool WalletShareTable::isCurrent(const WalletKey &Key) const {
  auto Found = this->Entries.find(Key);
  return Found != this->Entries.end() && Found->second.IsCurrent &&
         Found->second.HeldOnLog == Found->second.Share.Held &&
         Found->second.CommittedOnLog == Found->second.Share.Committed;
}

bool WalletShareTable::areAllCurrent() const {
  return std::all_of(this->Entries.begin(), this->Entries.end(),
                     [](const auto &Item) { return Item.second.IsCurrent; });
}

std::vector<WalletRecord>
WalletShareTable::witnessedRecords(const std::string &Self,
                                   std::size_t Max) const {
  std::vector<WalletRecord> Out;
  for (const auto &[Key, Position] : this->Entries) {
    if (!Position.IsCarried || Key.Process == Self || Out.size() >= Max)
      continue;
    if (Position.Share.Held <= Position.HeldOnLog &&
        Position.Share.Committed <= Position.CommittedOnLog)
      continue;
    WalletShare Share = Position.Share;
    Share.Era = this->Era;
    Share.IsWitnessed = true;
    Share.UnmetDemand = 0;
    Share.Rate = 0;
    Out.push_back({Key, Share, 0});
  }
  return Out;
}

WalletShare WalletShareTable::sumOfOthers(const std::string &Team,
                                          const std::string &Self) const {
  auto Found = this->TeamTotals.find(Team);
  if (Found == this->TeamTotals.end())
    return {};
  WalletShare Own = this->shareOf({Team, Self});
  return {Found->second.Held - Own.Held,
          Found->second.Committed - Own.Committed,
          Found->second.UnmetDemand - Own.UnmetDemand,
          Found->second.Rate - Own.Rate};
}

std::size_t WalletShareTable::processesSince(TimePoint Since) const {
  return static_cast<std::size_t>(std::count_if(
      this->LastReadTimes.begin(), this->LastReadTimes.end(),
      [Since](const auto &Last) { return Last.second >= Since; }));
}

WalletShare WalletShareTable::recentOfOthers(const std::string &Team,
                                             const std::string &Self,
                                             TimePoint Since) const {
  WalletShare Sum;
  for (auto Position = this->Entries.lower_bound({Team, ""});
       Position != this->Entries.end() && Position->first.Team == Team;
       ++Position) {
    if (Position->first.Process == Self || Position->second.ReadAt < Since)
      continue;
    Sum.UnmetDemand += Position->second.Share.UnmetDemand;
    Sum.Rate += Position->second.Share.Rate;
  }
  return Sum;
}

WalletShare WalletShareTable::shareOf(const WalletKey &Key) const {
  auto Found = this->Entries.find(Key);
  return Found == this->Entries.end() ? WalletShare{} : Found->second.Share;
}

} // namespace bergamothook
