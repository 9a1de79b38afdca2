/// \file
/// Reasons why a request was assigned no target or not admitted to a queue.
/// They are all detected before any byte is sent, so the request has not run.

#ifndef BERGAMOTHOOK_LIBROUTING_ROUTINGERROR_H
#define BERGAMOTHOOK_LIBROUTING_ROUTINGERROR_H

#include <system_error>

namespace bergamothook {

enum class RoutingError {
  /// No known target has the model loaded.
  ModelNotLoaded = 1,
  /// Targets have the model loaded, but all are leaving or excluded.
  NoTargetLeft,
  /// The queue is full of work that takes precedence over this request.
  QueueFull,
  /// The request cannot start before its deadline at the current rate.
  DeadlineUnreachable,
  /// The deadline passed while the request was waiting.
  DeadlinePassed,
  /// The request was removed from the queue in favour of other work.
  Displaced,
  /// The caller gave up while the request was waiting.
  Abandoned,
  /// The ticket is unknown.
  UnknownTicket,
  /// The target is unknown.
  UnknownTarget,
};

std::error_code make_error_code(RoutingError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::RoutingError> : std::true_type {};

#endif
