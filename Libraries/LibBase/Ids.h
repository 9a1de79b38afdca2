/// \file
/// Identifiers exchanged between hosts. Names from settings and templates are
/// hashed to 64 bits, so that messages carry 8 bytes instead of a name.

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

/// The configuration revision: the number of changes accepted so far.
using Revision = StrongId<struct RevisionTag>;

/// The position of an entry in a log stream.
using Offset = StrongId<struct OffsetTag>;

/// The number of an attempt at a request, starting at 1.
using AttemptNumber = StrongId<struct AttemptTag, std::uint32_t>;

/// Identifies one run of a host's process: a restarted process has a new
/// incarnation.
struct Incarnation {
  HostId Host;
  std::uint64_t Run = 0;

  auto operator<=>(const Incarnation &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Host, this->Run);
  }
};

/// Identifies a request from the caller's point of view. The same idempotency
/// key of the same team maps to the same identifier on every host.
using RequestId = Hash128;

/// Identifies a log record. A duplicate of a record has the same identifier,
/// so that every state machine that reads the log ignores it.
using RecordId = Hash128;

/// Returns the identifier of the object named \p Name.
template <typename Id> Id idOfName(std::string_view Name) {
  return Id{hash64(Name)};
}

/// Returns the identifier of the request of \p Team with the idempotency key
/// \p Key.
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
