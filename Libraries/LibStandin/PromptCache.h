/// \file
/// The prefix cache of the stand-in engine: bounded, least recently used
/// blocks go first. Its events are published late and with gaps.

#ifndef BERGAMOTHOOK_LIBSTANDIN_PROMPTCACHE_H
#define BERGAMOTHOOK_LIBSTANDIN_PROMPTCACHE_H

#include "LibBase/Random.h"
#include "LibRouting/PrefixIndex.h"

#include <deque>
#include <list>
#include <span>
#include <unordered_map>

namespace bergamothook {

/// How the events of a cache come out.
struct CacheEventFaults {
  /// The time between a change and its event.
  Duration Lag = std::chrono::milliseconds(500);
  /// The share of events that are never published.
  double LostShare = 0;
};

class PromptCache {
public:
  PromptCache(std::size_t CapacityBlocks, std::uint64_t Seed);

  /// Gives the number of leading blocks that are held, and marks them as used.
  std::size_t use(std::span<const PrefixHash> Blocks);

  /// Stores blocks, in place of the ones used longest ago.
  void store(std::span<const PrefixHash> Blocks, TimePoint Now);

  /// The events after \p Sequence that are published at the time \p Now, at
  /// most \p MaxEvents.
  std::vector<CacheEvent> eventsAfter(std::uint64_t Sequence, TimePoint Now,
                                      std::size_t MaxEvents) const;

  /// The whole content, and the sequence number of the last event in it.
  std::vector<PrefixHash> blocks() const;
  std::uint64_t lastSequence() const { return this->Sequence; }

  /// Forgets everything, as a crash does.
  void clear();

  CacheEventFaults Faults;

private:
  struct Published {
    TimePoint VisibleAt;
    CacheEvent Event;
  };

  void publish(PrefixHash Block, bool IsStored, TimePoint Now);
  void evict(TimePoint Now);

  std::size_t CapacityBlocks;
  /// Most recently used blocks first.
  std::list<PrefixHash> Order;
  std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> Places;
  std::deque<Published> Events;
  std::uint64_t Sequence = 0;
  Random Dice;
};

} // namespace bergamothook

#endif
