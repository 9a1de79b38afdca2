#include "LibLedger/LedgerError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(LedgerError Value) {
  switch (Value) {
  case LedgerError::BudgetExhausted:
    return "the team's budget does not cover the request";
  case LedgerError::SliceNotInHand:
    return "this host holds too little of the team's budget at present";
  case LedgerError::AlreadyBilled:
    return "the request was billed before";
  case LedgerError::AlreadyReserved:
    return "the request holds a reservation on this host already";
  case LedgerError::UnknownTeam:
    return "the ledger does not know the team";
  case LedgerError::BudgetClosed:
    return "the team's budget is closed";
  case LedgerError::Fenced:
    return "the log says that this incarnation has ended";
  case LedgerError::WitnessBehind:
    return "too much of the slice waits for its witness";
  case LedgerError::Stopping:
    return "the holder hands its slices back";
  case LedgerError::UnknownReservation:
    return "the reservation is not open";
  case LedgerError::WitnessFull:
    return "the witness holds as many notes as it may";
  case LedgerError::Malformed:
    return "the body of the ledger record or snapshot is malformed";
  }
  return "unknown ledger error";
}

const ErrorCategory<LedgerError> &category() {
  static const ErrorCategory<LedgerError> Category("ledger", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(LedgerError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook
