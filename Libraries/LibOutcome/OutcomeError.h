/// \file
/// Why a request did not end as "done", and what the caller may do about it.

#ifndef BERGAMOTHOOK_LIBOUTCOME_OUTCOMEERROR_H
#define BERGAMOTHOOK_LIBOUTCOME_OUTCOMEERROR_H

#include <system_error>

namespace bergamothook {

enum class OutcomeError {
  /// The key was used before with another body.
  KeyReused = 1,
  /// The key is so old that its record may be forgotten already.
  KeyTooOld,
  /// The key names a date that lies in the future.
  KeyFromFuture,
  /// The order was claimed, and its result is not there yet.
  StillRunning,
  /// The order was dispatched, and nobody knows whether it ran.
  ResultUnknown,
  /// The order's claim could not be agreed on while the log is out.
  LogUnavailable,
  /// The key is a ticket of another process, and only that one may dispatch.
  ForeignTicket,
  /// The key is a ticket that this process does not remember.
  UnknownTicket,
  /// An operator settled the order as not run. The key stays used.
  SettledAsNotRun,
  /// No target was left to try.
  NoTarget,
  /// The deadline of the caller passed.
  DeadlinePassed,
  /// The retry budget of the fleet is used up.
  RetryBudgetExhausted,
  /// The content of the request crashed its targets.
  Quarantined,
  /// The answer was cut, and the team's template allows no repetition.
  AnswerTruncated,
  /// The caller closed the connection.
  CallerGone,
  /// The order ran; its recorded answer was too long to be kept whole.
  ResultNotKept,
  /// The body of a record can't be read.
  MalformedRecord,
  /// A later attempt of the caller was answered as not run, so this earlier one
  /// must not run any more.
  Superseded,
  /// The host is stopping and takes no new requests.
  Draining,
};

std::error_code make_error_code(OutcomeError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::OutcomeError> : std::true_type {};

#endif
