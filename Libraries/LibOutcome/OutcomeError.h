/// \file
/// Why a request did not end as "done".

#ifndef BERGAMOTHOOK_LIBOUTCOME_OUTCOMEERROR_H
#define BERGAMOTHOOK_LIBOUTCOME_OUTCOMEERROR_H

#include <system_error>

namespace bergamothook {

enum class OutcomeError {
  /// The key was used before with a different body.
  KeyReused = 1,
  /// The key is so old that its state may have expired.
  KeyTooOld,
  /// The key is dated in the future.
  KeyFromFuture,
  /// The order was claimed and has no result yet.
  StillRunning,
  /// The order was dispatched, and it is unknown whether it ran.
  ResultUnknown,
  /// The order could not be claimed because the log is unavailable.
  LogUnavailable,
  /// The key is a ticket of another process, which alone may dispatch the
  /// order.
  ForeignTicket,
  /// The key is a ticket unknown to this process.
  UnknownTicket,
  /// An operator settled the order as not run. The key remains used.
  SettledAsNotRun,
  /// No target is left to try.
  NoTarget,
  /// The caller's deadline passed.
  DeadlinePassed,
  /// The retry budget of the fleet is exhausted.
  RetryBudgetExhausted,
  /// The request is quarantined because its content crashed targets.
  Quarantined,
  /// The answer was truncated, and the team's template does not allow the
  /// request to be repeated.
  AnswerTruncated,
  /// The caller closed the connection.
  CallerGone,
  /// The order ran, but its response was too long to store.
  ResultNotKept,
  /// The body of a record is malformed.
  MalformedRecord,
  /// A later attempt of the caller was answered as not run, so this earlier one
  /// must not run any more.
  Superseded,
  /// The host is shutting down and accepts no new requests.
  Draining,
};

std::error_code make_error_code(OutcomeError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::OutcomeError> : std::true_type {};

#endif
