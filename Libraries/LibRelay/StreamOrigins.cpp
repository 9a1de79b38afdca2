#include "LibRelay/StreamOrigins.h"

namespace bergamothook {

void StreamOrigins::put(const StreamOrigin &Origin) {
  const VersionId *Known = this->Versions.find(Origin.Stream);
  bool IsContradicted = Known && *Known != Origin.Version;
  this->Versions.set(Origin.Stream,
                     IsContradicted ? AmbiguousVersion : Origin.Version);
}

std::optional<VersionId> StreamOrigins::find(const Hash128 &Stream) const {
  const VersionId *Known = this->Versions.find(Stream);
  if (!Known)
    return std::nullopt;
  return *Known;
}

} // namespace bergamothook
