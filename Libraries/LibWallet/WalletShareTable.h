/// \file
/// The newest share of every (team, process) pair, as of one offset of the log.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETSHARETABLE_H
#define BERGAMOTHOOK_LIBWALLET_WALLETSHARETABLE_H

#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

#include <map>

namespace bergamothook {

/// A record is appended only if the log still ends at the offset up to which
/// its writer had read. Every record on the log was therefore valid when it was
/// written, and readers need no conflict resolution.
class WalletShareTable {
public:
  /// Applies a record, unless it is older than the current record of its key.
  void apply(const WalletRecord &Record, TimePoint Now);

  /// States that every record below \p Offset has been applied.
  void advanceTo(std::uint64_t Offset);

  /// Clears the table, so that the log can be read from the start.
  void clear();

  /// The offset of the next record.
  std::uint64_t end() const { return this->End; }

  /// Sums the shares of \p Team of all processes but \p Self.
  WalletShare sumOfOthers(const std::string &Team,
                          const std::string &Self) const;

  /// Sums the unmet demand and the spending rates of processes other than
  /// \p Self. Only includes records read at \p Since or later, because the last
  /// record of a dead process never changes.
  WalletShare recentOfOthers(const std::string &Team, const std::string &Self,
                             TimePoint Since) const;

  /// \returns the share of one process; an empty share if the log has none.
  WalletShare shareOf(const WalletKey &Key) const;

  /// \returns the number of processes that ever wrote a share.
  std::size_t processes() const { return this->LastReadTimes.size(); }

  /// \returns the number of processes with a record read at \p Since or later.
  std::size_t processesSince(TimePoint Since) const;

private:
  struct Entry {
    WalletShare Share;
    std::uint64_t Offset = 0;
    TimePoint ReadAt{};
  };

  std::map<WalletKey, Entry> Entries;
  std::map<std::string, WalletShare> TeamTotals;
  /// When the last record of each process was read.
  std::map<std::string, TimePoint> LastReadTimes;
  std::uint64_t End = 0;
};

} // namespace bergamothook

#endif
