/// \file
/// The software version at which a stream began.

#ifndef BERGAMOTHOOK_LIBRELAY_STREAMORIGIN_H
#define BERGAMOTHOOK_LIBRELAY_STREAMORIGIN_H

#include "LibBase/Hash.h"

#include <string_view>

namespace bergamothook {

/// Identifies a software version.
using VersionId = std::uint64_t;

/// The version of a stream of which contradicting things are known.
constexpr VersionId AmbiguousVersion = 0;

inline VersionId versionIdOf(std::string_view Version) {
  constexpr std::uint64_t Seed = 1;
  return hash64(Version, Seed) | 1U; // Never AmbiguousVersion.
}

/// Identifies a stream. \p FirstAttempt is the id of the caller's attempt that
/// brought the first event. Callers choose these ids, so the streams of
/// different teams differ whatever they choose.
inline Hash128 streamIdOf(std::string_view Team, std::string_view Service,
                          std::string_view FirstAttempt) {
  return hash128(FirstAttempt, hash64(Service, hash64(Team)));
}

struct StreamOrigin {
  Hash128 Stream;
  VersionId Version = AmbiguousVersion;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Stream, this->Version);
  }
};

} // namespace bergamothook

#endif
