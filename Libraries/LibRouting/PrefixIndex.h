/// \file
/// An index of the prompt prefixes cached by each target, built from cache
/// events that arrive late and with gaps.
///
/// The memory is fixed: the index is a set-associative table with LRU
/// replacement, and each entry names a few targets. The events of a target
/// carry sequence numbers; after a gap, the target's entries are trusted less
/// until its cache has been resynchronised.

#ifndef BERGAMOTHOOK_LIBROUTING_PREFIXINDEX_H
#define BERGAMOTHOOK_LIBROUTING_PREFIXINDEX_H

#include "LibRouting/TargetTable.h"
#include "LibTarget/CacheEvents.h"
#include "LibTarget/PrefixBlocks.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace bergamothook {

/// A target that has cached a prefix of a prompt.
struct PrefixHolder {
  TargetTable::Slot SlotIndex = 0;
  /// The number of leading blocks that the target is believed to have cached.
  std::uint32_t Blocks = 0;
  /// Set when events of the target were lost and it has not been
  /// resynchronised.
  bool HasGap = false;
};

/// The index of one host. Not thread-safe.
class PrefixIndex {
public:
  /// The maximum number of targets in one entry.
  static constexpr std::size_t HoldersPerEntry = 5;

  /// Creates an index for at most \p Capacity prefixes, rounded up to a power
  /// of two.
  explicit PrefixIndex(std::size_t Capacity);

  /// Applies an event of the target in slot \p SlotIndex. Events seen before
  /// are ignored. \returns false if events before this one are missing, which
  /// marks the target for resynchronisation.
  bool apply(TargetTable::Slot SlotIndex, const CacheEvent &Event);

  /// Discards everything known about a target, because it restarted or left, or
  /// its slot was reused.
  void reset(TargetTable::Slot SlotIndex);

  /// Replaces what is known about a target by a snapshot of its whole cache as
  /// of the event \p Sequence.
  void resynchronise(TargetTable::Slot SlotIndex, std::uint64_t Sequence,
                     std::span<const PrefixHash> Blocks);

  /// Returns the sequence number of the last event applied for a target, or 0.
  std::uint64_t lastSequence(TargetTable::Slot SlotIndex) const;

  /// Returns the slots of the targets whose events have a gap.
  std::vector<TargetTable::Slot> slotsWithGaps() const;

  /// Records that a prompt was sent to a target, which will soon cache its
  /// blocks; the corresponding events arrive only later.
  void addExpected(TargetTable::Slot SlotIndex,
                   std::span<const PrefixHash> Blocks);

  /// Removes the blocks that a target turned out not to have cached: it had
  /// only the first \p Held blocks of the prompt.
  void removeMissing(TargetTable::Slot SlotIndex,
                     std::span<const PrefixHash> Blocks, std::size_t Held);

  /// Returns the targets that have cached leading blocks of a prompt, at most
  /// HoldersPerEntry of them, and marks the entries as recently used.
  std::vector<PrefixHolder> find(std::span<const PrefixHash> Blocks);

  /// Returns the number of leading blocks that the target in \p SlotIndex has
  /// cached.
  std::uint32_t covered(TargetTable::Slot SlotIndex,
                        std::span<const PrefixHash> Blocks) const;

  /// Returns the number of prefixes in the index.
  std::size_t size() const { return this->UsedEntries; }

  std::size_t bytes() const;

private:
  static constexpr std::size_t EntriesPerSet = 4;

  /// A slot in the low bits and the generation of the slot's data above them.
  using Holder = std::uint32_t;

  struct Entry {
    PrefixHash Block = 0;
    std::uint32_t LastUse = 0;
    std::array<Holder, HoldersPerEntry> Holders{};
  };

  struct CacheState {
    std::uint64_t LastSequence = 0;
    std::uint8_t Generation = 1;
    bool HasGap = false;
  };

  CacheState &cacheStateOf(TargetTable::Slot SlotIndex);
  bool isCurrent(Holder Value) const;
  Holder holderOf(TargetTable::Slot SlotIndex) const;
  Entry *lookUp(PrefixHash Block);
  const Entry *lookUp(PrefixHash Block) const;
  void addHolder(TargetTable::Slot SlotIndex, PrefixHash Block);
  void removeHolder(TargetTable::Slot SlotIndex, PrefixHash Block);
  void invalidate(TargetTable::Slot SlotIndex);
  bool holds(const Entry &Prefix, TargetTable::Slot SlotIndex) const;

  std::vector<Entry> Entries;
  std::vector<CacheState> CacheStates;
  std::size_t SetMask;
  std::size_t UsedEntries = 0;
  std::uint32_t UseCounter = 0;
};

} // namespace bergamothook

#endif
