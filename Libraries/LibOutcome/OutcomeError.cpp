#include "LibOutcome/OutcomeError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(OutcomeError Value) {
  switch (Value) {
  case OutcomeError::KeyReused:
    return "the idempotency key was used with another body";
  case OutcomeError::KeyTooOld:
    return "the idempotency key is older than the memory of keys";
  case OutcomeError::KeyFromFuture:
    return "the idempotency key is dated in the future";
  case OutcomeError::StillRunning:
    return "the order is in progress";
  case OutcomeError::ResultUnknown:
    return "it is unknown whether the order ran";
  case OutcomeError::LogUnavailable:
    return "the log is unavailable, so the order could not be claimed";
  case OutcomeError::ForeignTicket:
    return "the ticket belongs to another process";
  case OutcomeError::UnknownTicket:
    return "the ticket is not known here";
  case OutcomeError::SettledAsNotRun:
    return "an operator settled the order as not run";
  case OutcomeError::NoTarget:
    return "no target is left to try";
  case OutcomeError::DeadlinePassed:
    return "the deadline passed";
  case OutcomeError::RetryBudgetExhausted:
    return "the retry budget is used up";
  case OutcomeError::Quarantined:
    return "the content of the request crashed its targets";
  case OutcomeError::AnswerTruncated:
    return "the answer was cut and may not be repeated";
  case OutcomeError::CallerGone:
    return "the caller closed the connection";
  case OutcomeError::ResultNotKept:
    return "the order ran, but its answer was too long to keep";
  case OutcomeError::MalformedRecord:
    return "the body of the record is malformed";
  case OutcomeError::Superseded:
    return "a later attempt was answered already";
  case OutcomeError::Draining:
    return "the host is stopping";
  }
  return "unknown outcome error";
}

const ErrorCategory<OutcomeError> &category() {
  static const ErrorCategory<OutcomeError> Category("outcome", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(OutcomeError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook
