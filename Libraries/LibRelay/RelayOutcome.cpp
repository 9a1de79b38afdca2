#include "LibRelay/RelayOutcome.h"

#include "LibBase/ErrorCategory.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

const char *describe(RelayReason Value) {
  switch (Value) {
  case RelayReason::None:
    return "none";
  case RelayReason::NoConfig:
    return "no configuration is known";
  case RelayReason::NoRoute:
    return "no route matches";
  case RelayReason::BadKey:
    return "the key is not known";
  case RelayReason::BadTokenCounts:
    return "the request does not state its tokens";
  case RelayReason::BudgetExhausted:
    return "the budget does not cover the request";
  case RelayReason::BudgetNotInHand:
    return "the tokens are not in hand";
  case RelayReason::NoTarget:
    return "no target is known for the service";
  case RelayReason::TargetsFull:
    return "the targets are full";
  case RelayReason::TargetUnreachable:
    return "no target could be reached";
  case RelayReason::TargetLost:
    return "the connection to the target was lost";
  case RelayReason::MalformedResponse:
    return "the target's answer is damaged";
  case RelayReason::ResendBudgetEmpty:
    return "the budget for resends is used up";
  case RelayReason::DeadlinePassed:
    return "the deadline passed";
  case RelayReason::CallerGone:
    return "the caller left";
  case RelayReason::Quarantined:
    return "the request, or a part of its prompt, crashed targets before";
  case RelayReason::Overloaded:
    return "the targets can't answer in time";
  case RelayReason::Stopping:
    return "the host is stopping";
  case RelayReason::RateLimited:
    return "the targets are at their rate limits";
  case RelayReason::StreamVersionUnknown:
    return "the software version at which the stream began is not known";
  case RelayReason::StreamVersionNotServed:
    return "no target serves the software version at which the stream began";
  case RelayReason::OutOfMemory:
    return "there is no memory for the message";
  case RelayReason::Evacuated:
    return "all targets of the service are in evacuated failure domains";
  case RelayReason::HostOverloaded:
    return "the link of the host is full";
  case RelayReason::TargetsCold:
    return "the targets have just started and accept few requests yet";
  case RelayReason::CannotStart:
    return "the call can't start in time";
  case RelayReason::OutOfReach:
    return "this host reaches no target of the service, and no other host took "
           "the call";
  case RelayReason::NotOfFleet:
    return "no host of the fleet has forwarded the request";
  case RelayReason::ConfigOld:
    return "the configuration may be an old one, which lacks what the request "
           "needs";
  case RelayReason::ConfigUnreadable:
    return "the part of the configuration that the request needs can't be read";
  case RelayReason::NoAttemptId:
    return "the request does not state its id";
  }
  return "unknown relay reason";
}

const ErrorCategory<RelayReason> &category() {
  static const ErrorCategory<RelayReason> Category("relay", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(RelayReason Value) {
  return {static_cast<int>(Value), category()};
}

std::string refusalBody(RelayReason Reason, RelayEnd End) {
  return nlohmann::json{{"error",
                         {{"message", make_error_code(Reason).message()},
                          {"outcome", nameOf(End)}}}}
      .dump();
}

const char *nameOf(RelayEnd End) {
  switch (End) {
  case RelayEnd::Done:
    return "done";
  case RelayEnd::NotRun:
    return "not_run";
  case RelayEnd::Unknown:
    return "unknown";
  case RelayEnd::Broken:
    return "broken";
  case RelayEnd::CallerLeft:
    return "caller_left";
  }
  return "unknown_end";
}

} // namespace bergamothook
