/// \file
/// Why a request was given no target or no place in a queue. Every one of them
/// is found before a byte is sent, so the request has not run.

#ifndef BERGAMOTHOOK_LIBROUTING_ROUTINGERROR_H
#define BERGAMOTHOOK_LIBROUTING_ROUTINGERROR_H

#include <system_error>

namespace bergamothook {

enum class RoutingError {
  /// No known target has the model loaded.
  ModelNotLoaded = 1,
  /// Targets have the model, but all are leaving or were excluded.
  NoTargetLeft,
  /// The queue is full of work that goes before this request.
  QueueFull,
  /// The request cannot start before its deadline at the present rate.
  DeadlineUnreachable,
  /// The deadline passed while the request waited.
  DeadlinePassed,
  /// The request was taken out of the queue to make room for other work.
  Displaced,
  /// The caller gave up while the request waited.
  Abandoned,
  /// No such ticket is known.
  UnknownTicket,
  /// No such target is known.
  UnknownTarget,
};

std::error_code make_error_code(RoutingError Value);

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::RoutingError> : std::true_type {};

#endif
