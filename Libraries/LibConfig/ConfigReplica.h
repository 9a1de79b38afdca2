/// \file
/// One host's replica of the stream "config" and of the state derived from it.
/// The entries come from the log or from other hosts.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGREPLICA_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGREPLICA_H

#include "LibConfig/ConfigFold.h"
#include "LibPlatform/LogHooks.h"

namespace bergamothook {

/// The position of a host in the stream. Hosts at the same offset must have the
/// same digest; otherwise their states have diverged.
struct ConfigPosition {
  /// The offset of the next entry to apply.
  Offset Next;
  Revision At;
  Hash128 Digest;

  bool operator==(const ConfigPosition &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Next, this->At, this->Digest);
  }
};

enum class OfferOutcome {
  Applied,
  /// The entry has been applied already.
  AlreadyKnown,
  /// Entries before this one are missing.
  Gap,
};

/// Applies the entries of the stream once each and without gaps, and retains
/// the most recent ones for hosts that are behind. The offset and the revision
/// never decrease.
class ConfigReplica {
public:
  /// Called with the outcome of each change as it is applied.
  using OnVerdict = std::function<void(RecordId, const ConfigVerdict &)>;

  explicit ConfigReplica(OnVerdict VerdictHook = {})
      : VerdictHook(std::move(VerdictHook)) {}

  /// Applies \p Entry if it is the next one.
  OfferOutcome offer(const LogEntry &Entry);

  ConfigPosition position() const;

  /// \returns the entries from \p From on, up to \p MaxBytes in total but at
  /// least one entry, or nothing if \p From is no longer retained.
  std::optional<std::vector<LogEntry>> entriesFrom(Offset From,
                                                   std::size_t MaxBytes) const;

  /// Encodes the state and its position.
  std::string encodeState() const;

  /// Restores the output of encodeState() if its offset is greater than the
  /// current one. \returns whether the state was replaced.
  ConfigResult<bool> restore(std::string_view State);

  const ConfigFold &fold() const { return this->Fold; }
  ConfigSnapshot snapshot() const { return this->Fold.snapshot(); }

  /// The number of entries that were not a valid batch of records.
  std::uint64_t skippedEntries() const { return this->Skipped; }

private:
  void retain(const LogEntry &Entry);

  OnVerdict VerdictHook;
  ConfigFold Fold;
  Offset Next;
  std::deque<LogEntry> Recent;
  std::size_t RecentBytes = 0;
  std::uint64_t Skipped = 0;
};

} // namespace bergamothook

#endif
