/// \file
/// The identifiers that hosts exchange. Names from settings and templates are
/// hashed to 64 bits, so that a message carries 8 bytes in place of a name.

#ifndef BERGAMOTHOOK_LIBBASE_IDS_H
#define BERGAMOTHOOK_LIBBASE_IDS_H

#include "LibBase/Hash.h"
#include "LibBase/StrongId.h"

#include <string>
#include <string_view>

namespace bergamothook {

using HostId = StrongId<struct HostTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using TeamId = StrongId<struct TeamTag>;
using TargetId = StrongId<struct TargetTag>;
using ModelId = StrongId<struct ModelTag>;

/// The revision of the configuration: the number of changes accepted so far.
using Revision = StrongId<struct RevisionTag>;

/// The place of an entry in a stream of the log.
using Offset = StrongId<struct OffsetTag>;

/// The number of an attempt of one request, from 1.
using AttemptNumber = StrongId<struct AttemptTag, std::uint32_t>;

/// Tells one run of a host's process from every other run of it.
struct Incarnation {
  HostId Host;
  std::uint64_t Run = 0;

  auto operator<=>(const Incarnation &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Host, this->Run);
  }
};

/// A request as its caller sees it. The same idempotency key of the same team
/// gives the same identifier on every host.
using RequestId = Hash128;

/// A record on the log. A second copy of the same record has the same
/// identifier, and every fold ignores it.
using RecordId = Hash128;

/// Gives the identifier of an object that is known by name.
template <typename Id> Id idOfName(std::string_view Name) {
  return Id{hash64(Name)};
}

/// Gives the identifier of the request that team \p Team sent under \p Key.
inline RequestId requestIdOf(TeamId Team, std::string_view Key) {
  return hash128(Key, Team.Value);
}

} // namespace bergamothook

template <> struct std::hash<bergamothook::Incarnation> {
  std::size_t operator()(const bergamothook::Incarnation &Id) const noexcept {
    return Id.Host.Value ^ (Id.Run * 0x9e3779b97f4a7c15ULL);
  }
};

#endif
