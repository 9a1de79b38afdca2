/// \file
/// What one process says of one team on the log. Only the newest record of a
/// (team, process) pair counts, so that the log may drop the older ones.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETRECORD_H
#define BERGAMOTHOOK_LIBWALLET_WALLETRECORD_H

#include "LibBase/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamothook {

/// An amount of tokens.
using Tokens = std::int64_t;

/// The tokens that one process has taken out of one team's budget since it
/// started.
struct WalletShare {
  /// The most that the process may have spent, now or later, without a newer
  /// record.
  Tokens Held = 0;
  /// The part of Held that was spent, or is set aside for requests under way.
  Tokens Committed = 0;
  /// What requests of the process wait for beyond that. Others that see it keep
  /// less in hand.
  Tokens Wanted = 0;
  /// How fast the process spends, in tokens a second; decides which part of a
  /// scarce budget each one may keep in hand.
  Tokens Rate = 0;

  bool operator==(const WalletShare &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Held, this->Committed, this->Wanted, this->Rate);
  }
};

/// Names a share: the team and the process.
struct WalletKey {
  std::string Team;
  std::string Process;

  auto operator<=>(const WalletKey &) const = default;
};

/// One record with its place in the log.
struct WalletRecord {
  WalletKey Key;
  WalletShare Share;
  std::uint64_t Offset = 0;
};

std::string encodeWalletKey(const WalletKey &Key);
std::string encodeWalletShare(const WalletShare &Share);

/// std::errc::bad_message for bytes that are no record of this version.
Result<WalletKey> decodeWalletKey(std::string_view Bytes);
Result<WalletShare> decodeWalletShare(std::string_view Bytes);

} // namespace bergamothook

#endif
