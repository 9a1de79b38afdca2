#include "LibApi/ApiFailure.h"

#include "LibBase/ErrorCategory.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

struct FailureEntry {
  ApiFailure Failure;
  ApiFailureProperties Properties;
  const char *Title;
};

constexpr RequestOutcome NotRun = RequestOutcome::NotRun;
constexpr RequestOutcome Unknown = RequestOutcome::Unknown;

// One entry per failure: HTTP status, type, outcome, whether a retry is safe.
const FailureEntry FailureTable[] = {
    {ApiFailure::MalformedRequest,
     {400, "malformed-request", NotRun, true},
     "the request is malformed"},
    {ApiFailure::UnsupportedRequest,
     {400, "unsupported-request", NotRun, true},
     "the request asks for something that is not supported"},
    {ApiFailure::MissingIdempotencyKey,
     {400, "missing-idempotency-key", NotRun, true},
     "an order needs an Idempotency-Key header"},
    {ApiFailure::Unauthenticated,
     {401, "unauthenticated", NotRun, true},
     "the bearer token belongs to no team"},
    {ApiFailure::NotAllowed,
     {403, "not-allowed", NotRun, true},
     "the team's template does not allow this"},
    {ApiFailure::UnknownRoute,
     {404, "unknown-route", NotRun, true},
     "there is nothing at this path"},
    {ApiFailure::UnknownModel,
     {404, "unknown-model", NotRun, true},
     "no target serves the model"},
    {ApiFailure::UnknownService,
     {404, "unknown-service", NotRun, true},
     "no target serves the service"},
    {ApiFailure::UnknownOrder,
     {404, "unknown-order", NotRun, true},
     "no order with this key is on record"},
    {ApiFailure::BodyTooLarge,
     {413, "body-too-large", NotRun, true},
     "the body is larger than allowed"},
    {ApiFailure::BudgetExhausted,
     {402, "budget-exhausted", NotRun, true},
     "the team's budget does not cover the request"},
    {ApiFailure::BudgetNotInHand,
     {503, "budget-not-in-hand", NotRun, true},
     "this host holds too little of the team's budget at present"},
    {ApiFailure::RequestTooCostly,
     {402, "request-too-costly", NotRun, true},
     "the worst case of the request is above the team's limit"},
    {ApiFailure::Overloaded,
     {429, "overloaded", NotRun, true},
     "too much work is waiting"},
    {ApiFailure::NoTarget,
     {503, "no-target", NotRun, true},
     "no target can take the request"},
    {ApiFailure::NotReady,
     {503, "not-ready", NotRun, true},
     "the host has no configuration yet"},
    {ApiFailure::Stopping,
     {503, "stopping", NotRun, true},
     "the host is stopping"},
    {ApiFailure::KeyReused,
     {422, "key-reused", NotRun, false},
     "the idempotency key was used with another body"},
    {ApiFailure::KeyExpired,
     {410, "key-expired", Unknown, false},
     "the idempotency key is too old to be looked up"},
    {ApiFailure::InProgress,
     {409, "in-progress", RequestOutcome::InProgress, true},
     "an earlier attempt of the request is still running"},
    {ApiFailure::AlreadyAnswered,
     {409, "already-answered", RequestOutcome::Done, true},
     "the request was answered before and its answer is no longer held"},
    {ApiFailure::LogUnavailable,
     {503, "log-unavailable", NotRun, true},
     "the platform's log can't be reached"},
    {ApiFailure::Quarantined,
     {422, "quarantined", NotRun, false},
     "the request is held back because it crashed targets"},
    {ApiFailure::TargetRefused,
     {502, "target-refused", NotRun, true},
     "the target refused the request"},
    {ApiFailure::TargetFailed,
     {502, "target-failed", Unknown, false},
     "the target failed while it had the request"},
    {ApiFailure::DeadlineBeforeStart,
     {504, "deadline-before-start", NotRun, true},
     "the deadline came before the request was sent to a target"},
    {ApiFailure::OutcomeUnknown,
     {504, "outcome-unknown", Unknown, false},
     "whether the request ran is not known"},
    {ApiFailure::StreamBroken,
     {502, "stream-broken", Unknown, true},
     "the answer could not be completed"},
};

const FailureEntry &entryOf(ApiFailure Failure) {
  for (const FailureEntry &Entry : FailureTable)
    if (Entry.Failure == Failure)
      return Entry;
  return FailureTable[0];
}

const char *describe(ApiFailure Failure) { return entryOf(Failure).Title; }

const ErrorCategory<ApiFailure> &category() {
  static const ErrorCategory<ApiFailure> Category("api", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(ApiFailure Value) {
  return {static_cast<int>(Value), category()};
}

const char *nameOf(RequestOutcome Outcome) {
  switch (Outcome) {
  case RequestOutcome::Done:
    return "done";
  case RequestOutcome::NotRun:
    return "not run";
  case RequestOutcome::Unknown:
    return "unknown";
  case RequestOutcome::InProgress:
    return "in progress";
  }
  return "unknown";
}

ApiFailureProperties propertiesOf(ApiFailure Failure) {
  return entryOf(Failure).Properties;
}

std::optional<std::string> ApiProblem::retryAfterHeader() const {
  if (!this->RetryAfter)
    return std::nullopt;
  auto Seconds =
      std::chrono::ceil<std::chrono::seconds>(*this->RetryAfter).count();
  return std::to_string(std::max<std::int64_t>(1, Seconds));
}

std::string ApiProblem::toJson() const {
  const FailureEntry &Entry = entryOf(this->Failure);
  nlohmann::json Body{{"type", std::string("urn:bergamothook:problem:") +
                                   Entry.Properties.Type},
                      {"title", Entry.Title},
                      {"status", Entry.Properties.Status},
                      {"outcome", nameOf(Entry.Properties.Outcome)},
                      {"retry_safe", Entry.Properties.IsRetrySafe}};
  if (!this->Detail.empty())
    Body["detail"] = this->Detail;
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bergamothook
