#include "LibNet/MemoryBudget.h"

#include <algorithm>
#include <limits>

namespace bergamothook {

MemoryBudget::AccountId MemoryBudget::open(std::vector<MemoryOwner> Owners) {
  this->Accounts[++this->LastAccount].Owners = std::move(Owners);
  return this->LastAccount;
}

void MemoryBudget::close(AccountId Account) {
  auto Found = this->Accounts.find(Account);
  if (Found == this->Accounts.end())
    return;
  this->count(Found->second, Found->second.Bytes, 0);
  this->Accounts.erase(Found);
}

void MemoryBudget::setOwners(AccountId Account,
                             std::vector<MemoryOwner> Owners) {
  Entry &Changed = this->Accounts.at(Account);
  std::size_t Held = Changed.Bytes;
  this->count(Changed, Held, 0);
  Changed.Owners = std::move(Owners);
  this->count(Changed, 0, Held);
}

bool MemoryBudget::resize(AccountId Account, std::size_t Bytes) {
  Entry &Changed = this->Accounts.at(Account);
  std::size_t Counted = Bytes - std::min(Bytes, this->Policy.FreeBytes);
  if (Counted > Changed.Bytes &&
      !this->mayGrow(Changed, Counted - Changed.Bytes)) {
    ++this->Refusals;
    return false;
  }
  this->count(Changed, Changed.Bytes, Counted);
  Changed.Bytes = Counted;
  return true;
}

bool MemoryBudget::mayGrow(const Entry &Account, std::size_t Growth) const {
  std::size_t Room = this->Policy.MaxBytes - this->Used;
  if (Growth > Room)
    return false;
  std::size_t RoomAfter = Room - Growth;
  if (Account.Owners.empty())
    return Account.Bytes + Growth <= RoomAfter;
  return std::all_of(
      Account.Owners.begin(), Account.Owners.end(), [&](MemoryOwner Owner) {
        auto Found = this->UsedByOwner.find(Owner);
        std::size_t Held = Found == this->UsedByOwner.end() ? 0 : Found->second;
        return Held + Growth <= RoomAfter;
      });
}

void MemoryBudget::count(const Entry &Account, std::size_t Before,
                         std::size_t After) {
  this->Used = this->Used - Before + After;
  for (MemoryOwner Owner : Account.Owners) {
    std::size_t &Held = this->UsedByOwner[Owner];
    Held = Held - Before + After;
    if (Held == 0)
      this->UsedByOwner.erase(Owner);
  }
}

MemoryHold::~MemoryHold() {
  if (this->Account != 0)
    this->Budget->close(this->Account);
}

void MemoryHold::setOwners(std::vector<MemoryOwner> Next) {
  this->Owners = std::move(Next);
  if (this->Account != 0)
    this->Budget->setOwners(this->Account, this->Owners);
}

bool MemoryHold::resize(std::size_t Bytes) {
  if (!this->Budget ||
      (this->Account == 0 && Bytes <= this->Budget->policy().FreeBytes))
    return true;
  if (this->Account == 0)
    this->Account = this->Budget->open(this->Owners);
  return this->Budget->resize(this->Account, Bytes);
}

std::size_t MemoryHold::freeBytes() const {
  return this->Budget ? this->Budget->policy().FreeBytes
                      : std::numeric_limits<std::size_t>::max();
}

} // namespace bergamothook
