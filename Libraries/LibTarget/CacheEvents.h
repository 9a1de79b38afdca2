/// \file
/// The prefix cache state that an engine publishes. Each adapter implements the
/// hooks for one wire format.

#ifndef BERGAMOTHOOK_LIBTARGET_CACHEEVENTS_H
#define BERGAMOTHOOK_LIBTARGET_CACHEEVENTS_H

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibTarget/EngineHooks.h"
#include "LibTarget/PrefixBlocks.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace bergamothook {

/// An insertion into or eviction from a target's prefix cache.
struct CacheEvent {
  /// Numbers the target's events consecutively from 1.
  std::uint64_t Sequence = 0;
  PrefixHash Block = 0;
  bool IsStored = true;
};

/// The complete prefix cache of a target after its event Sequence.
struct CacheSnapshot {
  std::uint64_t Sequence = 0;
  std::vector<PrefixHash> Blocks;
};

/// Calls that read an engine's prefix cache. Each blocks the calling task until
/// its deadline at the latest.
struct CacheHooks {
  /// Reads the events after sequence number \p After. The list may have gaps.
  std::function<Result<std::vector<CacheEvent>>(
      const TargetAddress &, std::uint64_t After, TimePoint Deadline)>
      ReadEvents;
  /// Reads a snapshot of the cache.
  std::function<Result<CacheSnapshot>(const TargetAddress &,
                                      TimePoint Deadline)>
      ReadSnapshot;
};

} // namespace bergamothook

#endif
