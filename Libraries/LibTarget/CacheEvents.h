/// \file
/// What an engine publishes of its prefix cache. An adapter fills the hooks in
/// for one wire format.

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

/// One change of a target's prefix cache.
struct CacheEvent {
  /// Counts the target's events from 1, without a hole at the target.
  std::uint64_t Sequence = 0;
  PrefixHash Block = 0;
  bool IsStored = true;
};

/// A target's whole prefix cache as of its event \p Sequence.
struct CacheSnapshot {
  std::uint64_t Sequence = 0;
  std::vector<PrefixHash> Blocks;
};

/// Calls for an engine's cache. Each blocks the calling task, at most until its
/// deadline.
struct CacheHooks {
  /// Reads events after the one given; some may be missing.
  std::function<Result<std::vector<CacheEvent>>(
      const TargetAddress &, std::uint64_t After, TimePoint Deadline)>
      ReadEvents;
  /// Reads the whole cache.
  std::function<Result<CacheSnapshot>(const TargetAddress &,
                                      TimePoint Deadline)>
      ReadSnapshot;
};

} // namespace bergamothook

#endif
