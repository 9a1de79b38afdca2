#include "LibWallet/WalletBook.h"

#include <algorithm>

namespace bergamothook {

void WalletBook::apply(const WalletRecord &Record) {
  auto [Place, IsNew] = this->Entries.try_emplace(Record.Key);
  if (!IsNew && Record.Offset < Place->second.Offset)
    return;
  WalletShare &Sum = this->Sums[Record.Key.Team];
  Sum.Held += Record.Share.Held - Place->second.Share.Held;
  Sum.Committed += Record.Share.Committed - Place->second.Share.Committed;
  Place->second = {Record.Share, Record.Offset};
  this->Processes.insert(Record.Key.Process);
}

void WalletBook::advanceTo(std::uint64_t Offset) {
  this->End = std::max(this->End, Offset);
}

void WalletBook::clear() { *this = {}; }

WalletShare WalletBook::sumOfOthers(const std::string &Team,
                                    const std::string &Self) const {
  auto Found = this->Sums.find(Team);
  if (Found == this->Sums.end())
    return {};
  WalletShare Own = this->shareOf({Team, Self});
  return {Found->second.Held - Own.Held,
          Found->second.Committed - Own.Committed};
}

WalletShare WalletBook::shareOf(const WalletKey &Key) const {
  auto Found = this->Entries.find(Key);
  return Found == this->Entries.end() ? WalletShare{} : Found->second.Share;
}

} // namespace bergamothook
