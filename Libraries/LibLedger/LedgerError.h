/// \file
/// Errors of reservations and of reading the ledger.

#ifndef BERGAMOTHOOK_LIBLEDGER_LEDGERERROR_H
#define BERGAMOTHOOK_LIBLEDGER_LEDGERERROR_H

#include <system_error>

namespace bergamothook {

enum class LedgerError {
  /// The team's whole budget does not cover the reservation.
  BudgetExhausted = 1,
  /// The budget may cover the reservation, but this host currently holds too
  /// little of it and has requested more.
  SliceNotInHand,
  /// The request has already been billed.
  AlreadyBilled,
  /// The request already has a reservation on this host.
  AlreadyReserved,
  /// The ledger has no record of the team.
  UnknownTeam,
  /// The team's budget was closed by an operator.
  BudgetClosed,
  /// According to the log, this incarnation has ended and may spend nothing.
  Fenced,
  /// Too many tokens of the slice lack an acknowledgement by a witness.
  WitnessBehind,
  /// The holder is returning its slices.
  Stopping,
  /// The reservation is not open, or no longer.
  UnknownReservation,
  /// The witness has reached its maximum number of notes.
  WitnessFull,
  /// The body of a record or snapshot can't be decoded.
  Malformed,
};

std::error_code make_error_code(LedgerError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::LedgerError> : std::true_type {};

#endif
