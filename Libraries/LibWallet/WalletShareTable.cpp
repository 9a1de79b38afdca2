#include "LibWallet/WalletShareTable.h"

#include <algorithm>

namespace bergamothook {

void WalletShareTable::apply(const WalletRecord &Record, TimePoint Now) {
  auto [Position, IsNew] = this->Entries.try_emplace(Record.Key);
  if (!IsNew && Record.Offset < Position->second.Offset)
    return;
  WalletShare &Sum = this->TeamTotals[Record.Key.Team];
  Sum.Held += Record.Share.Held - Position->second.Share.Held;
  Sum.Committed += Record.Share.Committed - Position->second.Share.Committed;
  Sum.UnmetDemand +=
      Record.Share.UnmetDemand - Position->second.Share.UnmetDemand;
  Sum.Rate += Record.Share.Rate - Position->second.Share.Rate;
  Position->second = {Record.Share, Record.Offset, Now};
  this->LastReadTimes[Record.Key.Process] = Now;
}

void WalletShareTable::advanceTo(std::uint64_t Offset) {
  this->End = std::max(this->End, Offset);
}

void WalletShareTable::clear() { *this = {}; }

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
