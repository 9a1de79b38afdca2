/// \file
/// What an idempotency key says by itself: the date of its making, or the
/// process that issued it as a ticket.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERKEY_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERKEY_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamothook {

/// Reads the date out of a key. Two forms carry one: a UUID of version 7, and
/// any key that starts with the UTC time as YYYYMMDDThhmmZ. \returns nothing
/// for any other key.
std::optional<WallTime> dateOfKey(std::string_view Key);

/// A ticket, fetched by a caller before it needs one, and then used as its
/// idempotency key. It names the only process that may dispatch the order.
struct OrderTicket {
  Incarnation Issuer;
  std::uint64_t Number = 0;

  auto operator<=>(const OrderTicket &) const = default;
};

/// Writes a ticket as an idempotency key.
std::string toKey(const OrderTicket &Ticket);

/// Reads a ticket out of a key. \returns nothing when the key is no ticket.
std::optional<OrderTicket> ticketOfKey(std::string_view Key);

} // namespace bergamothook

#endif
