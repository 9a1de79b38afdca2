/// \file
/// Information contained in an idempotency key: its creation date, or the
/// process that issued it as a ticket.

#ifndef BERGAMOTHOOK_LIBOUTCOME_ORDERKEY_H
#define BERGAMOTHOOK_LIBOUTCOME_ORDERKEY_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace bergamothook {

/// Parses the date in a key. Two formats carry one: a UUID of version 7, and
/// any key that starts with the UTC time as YYYYMMDDThhmmZ. \returns nothing
/// for any other key.
std::optional<WallTime> dateOfKey(std::string_view Key);

/// A ticket, which a caller requests in advance and then uses as its
/// idempotency key. It names the only process that may dispatch the order.
struct OrderTicket {
  Incarnation Issuer;
  std::uint64_t Number = 0;

  auto operator<=>(const OrderTicket &) const = default;
};

/// Formats a ticket as an idempotency key.
std::string toKey(const OrderTicket &Ticket);

/// Parses a ticket. \returns nothing if the key is not a ticket.
std::optional<OrderTicket> ticketOfKey(std::string_view Key);

} // namespace bergamothook

#endif
