/// \file
/// Log record of the tokens that one process holds of one team's budget. Only
/// the newest record of a (team, process) pair counts, so the log may be
/// compacted by key.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETRECORD_H
#define BERGAMOTHOOK_LIBWALLET_WALLETRECORD_H

#include "LibBase/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamothook {

/// An amount of tokens.
using Tokens = std::int64_t;

/// The tokens that one process has allocated from one team's budget since it
/// started.
struct WalletShare {
  /// Upper bound on what the process may spend in total before it appends a
  /// newer record.
  Tokens Held = 0;
  /// The part of Held that is spent, or reserved for requests in progress.
  Tokens Committed = 0;
  /// The tokens that requests of the process wait for and that only other
  /// processes hold. Processes that read this keep fewer idle tokens.
  Tokens UnmetDemand = 0;
  /// Spending rate in tokens per second. Determines which part of a scarce
  /// budget each process may keep idle.
  Tokens Rate = 0;
  /// The era of the log that the writer had read. A log that is restored from a
  /// copy begins a new era.
  std::uint64_t Era = 0;
  /// Written by another process that had read the share in an earlier era. The
  /// process itself may hold more.
  bool IsWitnessed = false;

  bool operator==(const WalletShare &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Held, this->Committed, this->UnmetDemand, this->Rate);
  }
};

/// Identifies a share by its team and process.
struct WalletKey {
  std::string Team;
  std::string Process;

  auto operator<=>(const WalletKey &) const = default;
};

/// More than any budget, and small enough that thousands of them can be added.
constexpr Tokens UnboundedTokens = 1'000'000'000'000'000;

/// One record with its offset in the log.
struct WalletRecord {
  WalletKey Key;
  WalletShare Share;
  std::uint64_t Offset = 0;
  /// The share can't be read: the process may hold the whole budget.
  bool IsUnreadable = false;
};

std::string encodeWalletKey(const WalletKey &Key);
std::string encodeWalletShare(const WalletShare &Share);

/// \returns std::errc::bad_message for bytes that are not a record of this
/// format version.
Result<WalletKey> decodeWalletKey(std::string_view Bytes);
Result<WalletShare> decodeWalletShare(std::string_view Bytes);

} // namespace bergamothook

#endif
