/// \file
/// Errors reported to API callers, and what each one implies about the request.

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

/// Execution state of a request whose response is an error.
enum class RequestOutcome { Done, NotRun, Unknown, InProgress };

const char *nameOf(RequestOutcome Outcome);

/// Wire representation of a failure.
struct ApiFailureProperties {
  std::uint16_t Status = 500;
  /// Last segment of the problem type URI. Part of the public API: never change
  /// an existing value.
  const char *Type = "";
  RequestOutcome Outcome = RequestOutcome::Unknown;
  bool IsRetrySafe = false;
};

ApiFailureProperties propertiesOf(ApiFailure Failure);

/// A failure as reported to a caller (RFC 9457 problem details).
struct ApiProblem {
  ApiFailure Failure = ApiFailure::MalformedRequest;
  std::string Detail;
  std::optional<Duration> RetryAfter;

  /// \returns the response body, of the type application/problem+json.
  std::string toJson() const;

  /// \returns the value of the Retry-After header: RetryAfter rounded up to
  /// whole seconds, at least 1.
  std::optional<std::string> retryAfterHeader() const;
};

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::ApiFailure> : std::true_type {};

#endif
