/// \file
/// The versions at which streams began, as far as one host knows them.

#ifndef BERGAMOTHOOK_LIBRELAY_STREAMORIGINS_H
#define BERGAMOTHOOK_LIBRELAY_STREAMORIGINS_H

#include "LibBase/RecentMap.h"
#include "LibRelay/StreamOrigin.h"

#include <optional>

namespace bergamothook {

/// Remembers a bounded number of streams, the latest ones. Not thread-safe.
class StreamOrigins {
public:
  explicit StreamOrigins(std::size_t Capacity) : Versions(Capacity) {}

  /// A caller that uses one id for two streams makes them ambiguous.
  void put(const StreamOrigin &Origin);

  std::optional<VersionId> find(const Hash128 &Stream) const;

private:
  RecentMap<Hash128, VersionId> Versions;
};

} // namespace bergamothook

#endif
