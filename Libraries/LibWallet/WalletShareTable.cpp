#include "LibWallet/WalletShareTable.h"

#include <algorithm>

namespace bergamothook {

void WalletShareTable::apply(const WalletRecord &Record, TimePoint Now) {
  auto [Place, IsNew] = this->Entries.try_emplace(Record.Key);
  if (!IsNew && Record.Offset < Place->second.Offset)
    return;
  WalletShare &Sum = this->Sums[Record.Key.Team];
  Sum.Held += Record.Share.Held - Place->second.Share.Held;
  Sum.Committed += Record.Share.Committed - Place->second.Share.Committed;
  Sum.Wanted += Record.Share.Wanted - Place->second.Share.Wanted;
  Sum.Rate += Record.Share.Rate - Place->second.Share.Rate;
  Place->second = {Record.Share, Record.Offset, Now};
  this->LastRecords[Record.Key.Process] = Now;
}

void WalletShareTable::advanceTo(std::uint64_t Offset) {
  this->End = std::max(this->End, Offset);
}

void WalletShareTable::clear() { *this = {}; }

WalletShare WalletShareTable::sumOfOthers(const std::string &Team,
                                          const std::string &Self) const {
  auto Found = this->Sums.find(Team);
  if (Found == this->Sums.end())
    return {};
  WalletShare Own = this->shareOf({Team, Self});
  return {Found->second.Held - Own.Held,
          Found->second.Committed - Own.Committed,
          Found->second.Wanted - Own.Wanted, Found->second.Rate - Own.Rate};
}

std::size_t WalletShareTable::processesSince(TimePoint Since) const {
  return static_cast<std::size_t>(std::count_if(
      this->LastRecords.begin(), this->LastRecords.end(),
      [Since](const auto &Last) { return Last.second >= Since; }));
}

WalletShare WalletShareTable::recentOfOthers(const std::string &Team,
                                             const std::string &Self,
                                             TimePoint Since) const {
  WalletShare Sum;
  for (auto Place = this->Entries.lower_bound({Team, ""});
       Place != this->Entries.end() && Place->first.Team == Team; ++Place) {
    if (Place->first.Process == Self || Place->second.ReadAt < Since)
      continue;
    Sum.Wanted += Place->second.Share.Wanted;
    Sum.Rate += Place->second.Share.Rate;
  }
  return Sum;
}

WalletShare WalletShareTable::shareOf(const WalletKey &Key) const {
  auto Found = this->Entries.find(Key);
  return Found == this->Entries.end() ? WalletShare{} : Found->second.Share;
}

} // namespace bergamothook
