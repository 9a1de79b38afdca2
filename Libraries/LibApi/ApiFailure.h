/// \file
/// Every failure that a caller can be told of, with what it says about the
/// request.

#ifndef BERGAMOTHOOK_LIBAPI_APIFAILURE_H
#define BERGAMOTHOOK_LIBAPI_APIFAILURE_H

#include "LibBase/Time.h"

#include <optional>
#include <string>
#include <system_error>

namespace bergamothook {

enum class ApiFailure {
  MalformedRequest = 1,
  UnsupportedRequest,
  MissingIdempotencyKey,
  Unauthenticated,
  NotAllowed,
  UnknownRoute,
  UnknownModel,
  UnknownService,
  UnknownOrder,
  BodyTooLarge,
  BudgetExhausted,
  BudgetNotInHand,
  RequestTooCostly,
  Overloaded,
  NoTarget,
  NotReady,
  Stopping,
  KeyReused,
  KeyExpired,
  InProgress,
  AlreadyAnswered,
  LogUnavailable,
  Quarantined,
  TargetRefused,
  TargetFailed,
  DeadlineBeforeStart,
  OutcomeUnknown,
  StreamBroken,
};

std::error_code make_error_code(ApiFailure Value);

/// What is true of a request that a failure was answered to.
enum class RequestOutcome { Done, NotRun, Unknown, InProgress };

const char *nameOf(RequestOutcome Outcome);

/// What the failure means on the wire.
struct ApiFailureProperties {
  std::uint16_t Status = 500;
  /// The last part of the problem's type URI; it never changes.
  const char *Type = "";
  RequestOutcome Outcome = RequestOutcome::Unknown;
  bool IsRetrySafe = false;
};

ApiFailureProperties propertiesOf(ApiFailure Failure);

/// A failure as it is answered to a caller.
struct ApiProblem {
  ApiFailure Failure = ApiFailure::MalformedRequest;
  std::string Detail;
  std::optional<Duration> RetryAfter;

  /// The body, of the type application/problem+json.
  std::string toJson() const;

  /// Whole seconds for the Retry-After header, at least 1.
  std::optional<std::string> retryAfterHeader() const;
};

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::ApiFailure> : std::true_type {};

#endif
