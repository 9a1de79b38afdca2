/// \file
/// The identifier of a request in an admission queue.

#ifndef BERGAMOTHOOK_LIBROUTING_TICKET_H
#define BERGAMOTHOOK_LIBROUTING_TICKET_H

#include "LibBase/StrongId.h"

namespace bergamothook {

/// Identifies a request within one Admission object, counted from 1.
using TicketId = StrongId<struct TicketTag>;

} // namespace bergamothook

#endif
