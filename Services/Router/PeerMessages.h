/// \file
/// Messages between hosts about request locations and settlements.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_PEERMESSAGES_H
#define BERGAMOTHOOK_SERVICES_ROUTER_PEERMESSAGES_H

#include "LibBase/Ids.h"

namespace bergamothook {

/// Message kinds. Configuration and membership messages use separate numbers.
enum class RequestMessageKind : std::uint16_t {
  SettlementNote = 64,
  Acknowledgement = 65,
  LocationNote = 66,
  LocationQuery = 67,
  LocationResponse = 68,
};

/// Tells a location replica which target runs a request.
struct LocationNote {
  RequestId Request;
  TargetId Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Target);
  }
};

/// Asks a location replica which target runs a request.
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
