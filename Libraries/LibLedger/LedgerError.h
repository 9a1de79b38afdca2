/// \file
/// Why tokens can't be reserved or a record of the ledger can't be read.

#ifndef BERGAMOTHOOK_LIBLEDGER_LEDGERERROR_H
#define BERGAMOTHOOK_LIBLEDGER_LEDGERERROR_H

#include <system_error>

namespace bergamothook {

enum class LedgerError {
  /// The team's budget, seen whole, does not cover the reservation.
  BudgetExhausted = 1,
  /// The budget may cover the reservation, but this host holds too little of
  /// it now and has asked for more.
  SliceNotInHand,
  /// The request was billed before.
  AlreadyBilled,
  /// The request holds a reservation on this host already.
  AlreadyReserved,
  /// No record of the ledger names the team.
  UnknownTeam,
  /// The team's budget was closed by an operator.
  BudgetClosed,
  /// The log says that this incarnation has ended: it may spend nothing.
  Fenced,
  /// Too much of the slice waits for the acknowledgement of its witness.
  WitnessBehind,
  /// The holder has begun to hand its slices back.
  Stopping,
  /// The reservation is not, or no longer, open.
  UnknownReservation,
  /// The witness holds as many notes as it may.
  WitnessFull,
  /// The body of a record or snapshot can't be decoded.
  Malformed,
};

std::error_code make_error_code(LedgerError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::LedgerError> : std::true_type {};

#endif
