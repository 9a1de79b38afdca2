/// \file
/// The messages between hosts about requests and settlements.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_PEERMESSAGES_H
#define BERGAMOTHOOK_SERVICES_ROUTER_PEERMESSAGES_H

#include "LibBase/Ids.h"

namespace bergamothook {

/// The kinds of these messages. Those of configuration and membership have
/// numbers of their own.
enum class RequestMessageKind : std::uint16_t {
  SettlementNote = 64,
  Acknowledgement = 65,
  Note = 66,
  Query = 67,
  Answer = 68,
};

/// Tells a keeper which target runs a request.
struct LocationNote {
  RequestId Request;
  TargetId Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Target);
  }
};

/// Asks a keeper which target runs a request.
struct LocationQuery {
  std::uint64_t Number = 0;
  RequestId Request;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Request);
  }
};

struct LocationResponse {
  std::uint64_t Number = 0;
  bool IsKnown = false;
  TargetId Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->IsKnown, this->Target);
  }
};

} // namespace bergamothook

#endif
