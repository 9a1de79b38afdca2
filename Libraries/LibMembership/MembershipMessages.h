/// \file
/// The messages of the membership protocol.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_MEMBERSHIPMESSAGES_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_MEMBERSHIPMESSAGES_H

#include "LibMembership/HostRumor.h"
#include "LibMembership/TargetNotices.h"

namespace bergamothook {

/// The kinds of membership messages.
enum class MembershipMessageKind : std::uint16_t {
  Ping = 48,
  Acknowledgement = 49,
  PingRequest = 50,
  TableDigest = 51,
  Table = 52,
  Notices = 53,
};

/// A ping or its acknowledgement, with piggybacked rumors. The first rumor is
/// always the one of the sender about itself.
struct ProbeMessage {
  std::uint64_t Sequence = 0;
  std::uint64_t NoticesDigest = 0;
  std::vector<HostRumor> Rumors;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Sequence, this->NoticesDigest, this->Rumors);
  }
};

/// Asks the receiver to probe \c Host on behalf of the sender.
struct PingRequest {
  std::uint64_t Sequence = 0;
  HostId Host;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Sequence, this->Host);
  }
};

/// A part of the sender's table, and whether the sender requests the receiver's
/// table in return.
struct TableMessage {
  std::vector<HostRumor> Rumors;
  bool WantsAnswer = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Rumors, this->WantsAnswer);
  }
};

/// The sender's notices, and whether it requests the receiver's in return.
struct NoticesMessage {
  std::vector<TargetNotice> Notices;
  bool WantsAnswer = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Notices, this->WantsAnswer);
  }
};

} // namespace bergamothook

#endif
