/// \file
/// Which targets hold which prompt prefixes, learned from cache events that
/// come late and with gaps.
///
/// The memory is fixed: a table of sets of entries, in which a new prefix takes
/// the place of the one used longest ago in its set. An entry names a few
/// targets. Each target's events carry sequence numbers; after a gap, what is
/// known of that target counts for less until it has been read anew.

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

/// What the index knows of one target for one prompt.
struct PrefixHolder {
  TargetTable::Slot SlotIndex = 0;
  /// The number of leading blocks that the target is believed to hold.
  std::uint32_t Blocks = 0;
  /// Set when events of the target were lost and it was not read anew.
  bool HasGap = false;
};

/// The index of one host. Not thread-safe.
class PrefixIndex {
public:
  /// The targets that one entry names.
  static constexpr std::size_t HoldersPerEntry = 5;

  /// Makes an index that never holds more than \p Capacity prefixes, rounded up
  /// to a power of two.
  explicit PrefixIndex(std::size_t Capacity);

  /// Takes one event of the target in slot \p SlotIndex. Events seen before are
  /// ignored. \returns false when events are missing before this one, which
  /// marks the target for resynchronisation.
  bool apply(TargetTable::Slot SlotIndex, const CacheEvent &Event);

  /// Forgets what is known of a target, because it restarted or left, or its
  /// slot was given to another.
  void reset(TargetTable::Slot SlotIndex);

  /// Replaces what is known of a target by its whole cache as of the event
  /// \p Sequence.
  void resynchronise(TargetTable::Slot SlotIndex, std::uint64_t Sequence,
                     std::span<const PrefixHash> Blocks);

  /// Gives the number of the latest event taken of a target, 0 without any.
  std::uint64_t lastSequence(TargetTable::Slot SlotIndex) const;

  /// Gives the targets whose events have a gap.
  std::vector<TargetTable::Slot> slotsWithGaps() const;

  /// Notes that a prompt was sent to a target, which will soon hold its blocks;
  /// its events tell so only later.
  void expect(TargetTable::Slot SlotIndex, std::span<const PrefixHash> Blocks);

  /// Takes out the blocks that a target proved not to hold: it found only
  /// \p Held leading blocks of the prompt.
  void removeMissing(TargetTable::Slot SlotIndex,
                     std::span<const PrefixHash> Blocks, std::size_t Held);

  /// Gives the targets that hold leading blocks of a prompt, at most
  /// HoldersPerEntry of them, and refreshes the entries found.
  std::vector<PrefixHolder> find(std::span<const PrefixHash> Blocks);

  /// Gives the number of leading blocks that the target in \p SlotIndex holds.
  std::uint32_t covered(TargetTable::Slot SlotIndex,
                        std::span<const PrefixHash> Blocks) const;

  /// Gives the number of prefixes held.
  std::size_t size() const { return this->UsedEntries; }

  std::size_t bytes() const;

private:
  static constexpr std::size_t EntriesPerSet = 4;

  /// A holder: the slot in the low bits, the generation of its knowledge above.
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
