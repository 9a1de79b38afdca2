/// \file
/// Bounds the bytes of messages that a process holds, in sum.

#ifndef BERGAMOTHOOK_LIBNET_MEMORYBUDGET_H
#define BERGAMOTHOOK_LIBNET_MEMORYBUDGET_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace bergamothook {

struct MemoryPolicy {
  /// The most bytes that all accounts hold.
  std::size_t MaxBytes = 32 * 1024 * 1024;
  /// What each account may hold without being counted. Nearly all messages are
  /// smaller.
  std::size_t FreeBytes = 8 * 1024;
};

/// Identifies who caused bytes to be held: a target, a team, an address.
using MemoryOwner = std::uint64_t;

/// One account for each connection and call. An account grows only while each
/// of its owners holds no more than what is left for all others then (dynamic
/// thresholds, as in switches with a shared buffer): one owner gets half of the
/// memory at the most, two get two thirds, and no number of them gets all of
/// it. The account that asks for memory is refused; what others hold stays.
/// Not thread-safe.
class MemoryBudget {
public:
  using AccountId = std::uint64_t;

  explicit MemoryBudget(MemoryPolicy Policy) : Policy(Policy) {}

  /// Opens an account of \p Owners. An account without any is an owner of its
  /// own.
  AccountId open(std::vector<MemoryOwner> Owners);

  void close(AccountId Account);

  /// Replaces the owners of what the account holds and will hold.
  void setOwners(AccountId Account, std::vector<MemoryOwner> Owners);

  /// Sets how many bytes the account holds. \returns false, and changes
  /// nothing, if there is no memory for more.
  bool resize(AccountId Account, std::size_t Bytes);

  std::size_t usedBytes() const { return this->Used; }
  std::size_t accounts() const { return this->Accounts.size(); }
  std::uint64_t refusals() const { return this->Refusals; }
  const MemoryPolicy &policy() const { return this->Policy; }

private:
  struct Entry {
    std::vector<MemoryOwner> Owners;
    std::size_t Bytes = 0;
  };

  bool mayGrow(const Entry &Account, std::size_t Growth) const;
  void count(const Entry &Account, std::size_t Before, std::size_t After);

  MemoryPolicy Policy;
  std::map<AccountId, Entry> Accounts;
  std::map<MemoryOwner, std::size_t> UsedByOwner;
  std::size_t Used = 0;
  std::uint64_t Refusals = 0;
  AccountId LastAccount = 0;
};

/// Shared with all holds, which may outlive the service.
using MemoryBudgetHandle = std::shared_ptr<MemoryBudget>;

/// What one connection or call holds. Opens an account when it first holds more
/// than is free, and closes it at the end of its scope.
class MemoryHold {
public:
  /// Without \p Budget, nothing is bounded.
  MemoryHold(MemoryBudgetHandle Budget, std::vector<MemoryOwner> Owners)
      : Budget(std::move(Budget)), Owners(std::move(Owners)) {}
  ~MemoryHold();
  MemoryHold(const MemoryHold &) = delete;
  MemoryHold &operator=(const MemoryHold &) = delete;

  void setOwners(std::vector<MemoryOwner> Owners);

  /// See MemoryBudget::resize().
  bool resize(std::size_t Bytes);

  /// What may be held without being counted.
  std::size_t freeBytes() const;

private:
  MemoryBudgetHandle Budget;
  std::vector<MemoryOwner> Owners;
  MemoryBudget::AccountId Account = 0;
};

} // namespace bergamothook

#endif
