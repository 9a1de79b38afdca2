/// \file
/// One host's copy of the stream "config" and of the state that follows from
/// it, whether its entries come from the log or from another host.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGREPLICA_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGREPLICA_H

#include "LibConfig/ConfigFold.h"
#include "LibPlatform/LogHooks.h"

namespace bergamothook {

/// How far a host has folded the stream. Hosts at the same offset have the
/// same digest, or one of them is wrong.
struct ConfigPosition {
  /// The offset of the next entry to fold.
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
  /// The entry was folded before.
  AlreadyKnown,
  /// Entries before this one are missing.
  Gap,
};

/// Folds the entries of the stream, each once and without a hole, and keeps the
/// last ones for hosts that are behind. Its offset and revision only grow.
class ConfigReplica {
public:
  /// Told of each change as it is folded.
  using OnVerdict = std::function<void(RecordId, const ConfigVerdict &)>;

  explicit ConfigReplica(OnVerdict Tell = {}) : Tell(std::move(Tell)) {}

  /// Folds \p Entry if it is the next one.
  OfferOutcome offer(const LogEntry &Entry);

  ConfigPosition position() const;

  /// The entries from \p From on, of \p MaxBytes together or a single larger
  /// one. Nothing if entries are wanted that are no longer kept.
  std::optional<std::vector<LogEntry>> entriesFrom(Offset From,
                                                   std::size_t MaxBytes) const;

  /// Writes the state with its position.
  std::string encodeState() const;

  /// Takes a state that encodeState() wrote, if it is of a later offset than
  /// the present one. \returns whether it was taken.
  ConfigResult<bool> restore(std::string_view State);

  const ConfigFold &fold() const { return this->Fold; }
  ConfigSnapshot snapshot() const { return this->Fold.snapshot(); }

  /// Entries that held no batch of records.
  std::uint64_t skippedEntries() const { return this->Skipped; }

private:
  void keep(const LogEntry &Entry);

  OnVerdict Tell;
  ConfigFold Fold;
  Offset Next;
  std::deque<LogEntry> Recent;
  std::size_t RecentBytes = 0;
  std::uint64_t Skipped = 0;
};

} // namespace bergamothook

#endif
