#include "LibRouting/RoutingError.h"

#include "LibBase/ErrorCategory.h"

namespace bergamothook {

namespace {

const char *describe(RoutingError Value) {
  switch (Value) {
  case RoutingError::ModelNotLoaded:
    return "no target has the model loaded";
  case RoutingError::NoTargetLeft:
    return "every target of the model is leaving or excluded";
  case RoutingError::QueueFull:
    return "the queue is full";
  case RoutingError::DeadlineUnreachable:
    return "the request cannot start before its deadline";
  case RoutingError::DeadlinePassed:
    return "the deadline passed before the request started";
  case RoutingError::Displaced:
    return "work of higher priority took the place in the queue";
  case RoutingError::Abandoned:
    return "the caller gave up before the request started";
  case RoutingError::UnknownTicket:
    return "no such ticket is known";
  case RoutingError::UnknownTarget:
    return "no such target is known";
  }
  return "unknown routing error";
}

const ErrorCategory<RoutingError> &category() {
  static const ErrorCategory<RoutingError> Category("routing", describe);
  return Category;
}

} // namespace

std::error_code make_error_code(RoutingError Value) {
  return {static_cast<int>(Value), category()};
}

} // namespace bergamothook
