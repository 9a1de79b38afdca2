#include "LibRelayFront/ConnectionLimits.h"

#include <algorithm>

namespace bergamothook {

ConnectionLimits deriveConnectionLimits(std::size_t MemoryBytes,
                                        std::size_t Descriptors) {
  ConnectionLimits Limits;
  // Half of the memory; the rest is for messages, the kernel's buffers, and the
  // process without connections (about 9 MB).
  Limits.CallerConnections = std::clamp<std::size_t>(
      MemoryBytes / 2 / ConnectionMemoryBytes, 1, MaxCallerConnections);
  if (Descriptors == 0)
    return Limits;
  constexpr std::size_t Reserved = DescriptorsForFiles + DescriptorsForOwnUse;
  Limits.ConnectionsAndCalls =
      std::max<std::size_t>(Descriptors, Reserved + 2) - Reserved;
  // A third is left for connections to targets at least.
  Limits.CallerConnections = std::clamp<std::size_t>(
      Limits.ConnectionsAndCalls * 2 / 3, 1, Limits.CallerConnections);
  return Limits;
}

} // namespace bergamothook
