/// \file
/// The newest share of every (team, process) pair, as of one offset of the log.

#ifndef BERGAMOTHOOK_LIBWALLET_WALLETSHARETABLE_H
#define BERGAMOTHOOK_LIBWALLET_WALLETSHARETABLE_H

#include "LibBase/Time.h"
#include "LibWallet/WalletRecord.h"

#include <map>
#include <vector>

namespace bergamothook {

/// A record is appended only if the log still ends at the offset up to which
/// its writer had read. Every record on the log was therefore valid when it was
/// written, and readers need no conflict resolution.
///
/// A log that was restored from a copy lacks its latest records. The table
/// keeps what it knew of a process until that process itself writes in the new
/// era: until then, the larger of all known shares counts.
class WalletShareTable {
public:
  /// Applies a record, unless it is older than the current record of its key.
  void apply(const WalletRecord &Record, TimePoint Now);

  /// Applies what a process said of its own share in a message, which may
  /// arrive before or after its record is read. Until the next record, the
  /// larger counts.
  void applyNotice(const WalletRecord &Record);

  /// States that every record below \p Offset has been applied.
  void advanceTo(std::uint64_t Offset);

  /// The log will be read from the start again.
  void rewind() { this->End = 0; }

  /// The log was restored from a copy. It will be read from the start.
  void beginEra(std::uint64_t Next);

  std::uint64_t era() const { return this->Era; }

  /// Set the share of a process that knows it better than the log, and what the
  /// log says of it.
  void setOwn(const WalletKey &Key, const WalletShare &Share);
  void setOwnOnLog(const WalletRecord &Record);

  /// \returns whether the log says what the process itself wrote in this era.
  bool isCurrent(const WalletKey &Key) const;

  /// \returns the offset of the last record of a key; 0 if there is none.
  std::uint64_t offsetOf(const WalletKey &Key) const;

  /// \returns whether all processes wrote their shares in this era.
  bool areAllCurrent() const;

  /// \returns records of what other processes than \p Self held in earlier eras
  /// and the log does not say, at most \p Max.
  std::vector<WalletRecord> witnessedRecords(const std::string &Self,
                                             std::size_t Max) const;

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
    /// What the log says in this era.
    Tokens HeldOnLog = 0;
    Tokens CommittedOnLog = 0;
    std::uint64_t Offset = 0;
    /// A record of this era was read.
    bool HasRecord = false;
    /// The process itself wrote the share in this era.
    bool IsCurrent = false;
    /// The share was known in an earlier era, and the process itself has not
    /// written since.
    bool IsCarried = false;
    TimePoint ReadAt{};
  };

  void setShare(const std::string &Team, Entry &Position,
                const WalletShare &Share);

  std::map<WalletKey, Entry> Entries;
  std::map<std::string, WalletShare> TeamTotals;
  /// When the last record of each process was read.
  std::map<std::string, TimePoint> LastReadTimes;
  std::uint64_t End = 0;
  std::uint64_t Era = 0;
};

} // namespace bergamothook

#endif
