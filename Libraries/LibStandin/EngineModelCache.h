/// \file
/// The bounded prefix cache of a model of an engine, with events that come late
/// and with gaps.

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

/// A cache of prompt blocks that evicts the block used longest ago. Not
/// thread-safe.
class EngineModelCache {
public:
  /// \p Delay is how late an event is published, \p Loss the share that never
  /// is.
  EngineModelCache(std::size_t Capacity, Duration Delay, double Loss,
                   std::uint64_t Seed);

  /// Gives the number of leading blocks held and marks them as used.
  std::size_t use(std::span<const PrefixHash> Blocks);

  /// Stores the blocks of a prompt that has been computed.
  void store(std::span<const PrefixHash> Blocks, TimePoint Now);

  /// Gives the published events after the one numbered \p After.
  std::vector<CacheEvent> events(std::uint64_t After, TimePoint Now) const;

  /// Gives the whole cache.
  CacheSnapshot snapshot() const;

  /// Forgets the blocks, without events, as a restart does.
  void clear();

private:
  struct Published {
    TimePoint At;
    CacheEvent Event;
  };

  void publish(PrefixHash Block, bool IsStored, TimePoint Now);

  std::size_t Capacity;
  Duration Delay;
  double Loss;
  Random Draws;
  /// The blocks from the one used last to the one used longest ago.
  std::list<PrefixHash> Recent;
  std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> Places;
  std::deque<Published> Log;
  std::uint64_t LastSequence = 0;
};

} // namespace bergamothook

#endif
