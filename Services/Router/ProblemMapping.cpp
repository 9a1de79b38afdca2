#include "ProblemMapping.h"

#include "LibLedger/LedgerError.h"
#include "LibOutcome/OutcomeError.h"
#include "LibRouting/RoutingError.h"
#include "LibStream/StreamError.h"
#include "LibTarget/TargetError.h"

namespace bergamothook {

namespace {

struct FailureMapping {
  std::error_code Reason;
  ApiFailure Failure;
};

/// Failures for requests that are known not to have run.
const FailureMapping NotRunMappings[] = {
    {LedgerError::BudgetExhausted, ApiFailure::BudgetExhausted},
    {LedgerError::BudgetClosed, ApiFailure::BudgetExhausted},
    {LedgerError::UnknownTeam, ApiFailure::BudgetExhausted},
    {LedgerError::SliceNotInHand, ApiFailure::BudgetNotInHand},
    {LedgerError::WitnessBehind, ApiFailure::BudgetNotInHand},
    {LedgerError::Fenced, ApiFailure::Stopping},
    {LedgerError::Stopping, ApiFailure::Stopping},
    {LedgerError::AlreadyReserved, ApiFailure::InProgress},
    {LedgerError::AlreadyBilled, ApiFailure::AlreadyAnswered},
    {RoutingError::ModelNotLoaded, ApiFailure::UnknownModel},
    {RoutingError::NoTargetLeft, ApiFailure::NoTarget},
    {RoutingError::QueueFull, ApiFailure::Overloaded},
    {RoutingError::Displaced, ApiFailure::Overloaded},
    {RoutingError::DeadlineUnreachable, ApiFailure::Overloaded},
    {RoutingError::DeadlinePassed, ApiFailure::DeadlineBeforeStart},
    {OutcomeError::DeadlinePassed, ApiFailure::DeadlineBeforeStart},
    {OutcomeError::KeyReused, ApiFailure::KeyReused},
    {OutcomeError::KeyFromFuture, ApiFailure::MalformedRequest},
    {OutcomeError::LogUnavailable, ApiFailure::LogUnavailable},
    {OutcomeError::Quarantined, ApiFailure::Quarantined},
    {OutcomeError::NoTarget, ApiFailure::NoTarget},
    {OutcomeError::RetryBudgetExhausted, ApiFailure::Overloaded},
    {OutcomeError::Draining, ApiFailure::Stopping},
    {StreamError::NotConfirmed, ApiFailure::LogUnavailable},
    {StreamError::QueueFull, ApiFailure::LogUnavailable},
    {TargetError::BadRequest, ApiFailure::TargetRefused},
};

/// Failures for requests that may have run.
const FailureMapping UnknownMappings[] = {
    {OutcomeError::KeyTooOld, ApiFailure::KeyExpired},
    {OutcomeError::Quarantined, ApiFailure::Quarantined},
    {OutcomeError::AnswerTruncated, ApiFailure::StreamBroken},
    {OutcomeError::KeyReused, ApiFailure::KeyReused},
};

template <std::size_t Count>
ApiFailure findFailure(const FailureMapping (&Table)[Count],
                       std::error_code Reason, ApiFailure Default) {
  for (const FailureMapping &Entry : Table)
    if (Entry.Reason == Reason)
      return Entry.Failure;
  return Default;
}

ApiFailure failureOf(Outcome Verdict, std::error_code Reason) {
  switch (Verdict) {
  case Outcome::NotRun:
    return findFailure(NotRunMappings, Reason, ApiFailure::TargetRefused);
  case Outcome::InProgress:
    return ApiFailure::InProgress;
  case Outcome::Done:
    return ApiFailure::AlreadyAnswered;
  case Outcome::Unknown:
    return findFailure(UnknownMappings, Reason, ApiFailure::OutcomeUnknown);
  }
  return ApiFailure::OutcomeUnknown;
}

} // namespace

ApiProblem problemOf(Outcome Verdict, std::error_code Reason,
                     Duration RetryAfter) {
  ApiProblem Problem{failureOf(Verdict, Reason), Reason.message(),
                     std::nullopt};
  if (RetryAfter > Duration::zero())
    Problem.RetryAfter = RetryAfter;
  return Problem;
}

} // namespace bergamothook
