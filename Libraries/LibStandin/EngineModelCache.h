/// \file
/// The bounded prefix cache of a modelled engine. Its events are published late
/// and some are lost.

#ifndef BERGAMOTHOOK_LIBSTANDIN_ENGINEMODELCACHE_H
#define BERGAMOTHOOK_LIBSTANDIN_ENGINEMODELCACHE_H

#include "LibBase/Random.h"
#include "LibBase/Time.h"
#include "LibTarget/CacheEvents.h"

#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace bergamothook {

/// An LRU cache of prompt blocks. Not thread-safe.
class EngineModelCache {
public:
  /// \p Delay is the delay before an event is published, \p Loss the
  /// probability that it never is.
  EngineModelCache(std::size_t Capacity, Duration Delay, double Loss,
                   std::uint64_t Seed);

  /// Marks the leading cached blocks as used. \returns their number.
  std::size_t use(std::span<const PrefixHash> Blocks);

  /// Stores the blocks of a prefilled prompt.
  void store(std::span<const PrefixHash> Blocks, TimePoint Now);

  /// \returns the events published by \p Now with a sequence number above
  /// \p After.
  std::vector<CacheEvent> events(std::uint64_t After, TimePoint Now) const;

  CacheSnapshot snapshot() const;

  /// Drops all blocks without publishing events, as a restart does.
  void clear();

private:
  struct PublishedEvent {
    TimePoint At;
    CacheEvent Event;
  };

  void publish(PrefixHash Block, bool IsStored, TimePoint Now);

  std::size_t Capacity;
  Duration Delay;
  double Loss;
  Random Rng;
  /// From the most to the least recently used.
  std::list<PrefixHash> BlocksByRecency;
  std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> Positions;
  std::deque<PublishedEvent> EventLog;
  std::uint64_t LastSequence = 0;
};

} // namespace bergamothook

#endif
