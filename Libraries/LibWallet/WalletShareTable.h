/// \file
/// The newest share of every (team, process) pair, as of one offset of the log.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETSHARETABLE_H
#define BERGAMOTHOOK_LIBWALLET_WALLETSHARETABLE_H

#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

#include <map>

namespace bergamothook {

/// A record counts only if it was appended exactly at the end that its writer
/// had read, so every record of the log was true when it was written, and no
/// reader has to judge it.
class WalletShareTable {
public:
  /// Takes a record; one that is older than the pair's present one changes
  /// nothing.
  void apply(const WalletRecord &Record, TimePoint Now);

  /// Says that every record below \p Offset was applied.
  void advanceTo(std::uint64_t Offset);

  /// Forgets everything, to be read anew.
  void clear();

  /// The offset of the next record.
  std::uint64_t end() const { return this->End; }

  /// Sums the shares of \p Team of all processes but \p Self.
  WalletShare sumOfOthers(const std::string &Team,
                          const std::string &Self) const;

  /// Sums what processes other than \p Self wait for and how fast they spend,
  /// by records that were read at \p Since or later; one that died says the
  /// same for ever.
  WalletShare recentOfOthers(const std::string &Team, const std::string &Self,
                             TimePoint Since) const;

  /// Gives the share of one process; nothing on the log is an empty share.
  WalletShare shareOf(const WalletKey &Key) const;

  /// Counts the processes that ever wrote a share.
  std::size_t processes() const { return this->LastRecords.size(); }

  /// Counts the processes of which a record was read at \p Since or later.
  std::size_t processesSince(TimePoint Since) const;

private:
  struct Entry {
    WalletShare Share;
    std::uint64_t Offset = 0;
    TimePoint ReadAt{};
  };

  std::map<WalletKey, Entry> Entries;
  std::map<std::string, WalletShare> Sums;
  /// When the last record of each process was read.
  std::map<std::string, TimePoint> LastRecords;
  std::uint64_t End = 0;
};

} // namespace bergamothook

#endif
