/// \file
/// The outcome of one relayed call.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYOUTCOME_H
#define BERGAMOTHOOK_LIBRELAY_RELAYOUTCOME_H

#include "LibBase/Time.h"

#include <string>
#include <system_error>

namespace bergamothook {

enum class RelayEnd {
  /// The caller has the target's complete answer.
  Done,
  /// The call was not executed and will not be.
  NotRun,
  /// The call may have been executed; the caller was told so.
  Unknown,
  /// The stream was interrupted after it had started.
  Broken,
  /// The caller disconnected before the end.
  CallerLeft,
};

const char *nameOf(RelayEnd End);

/// When to retry after a refusal by a host that stops: another host accepts the
/// call immediately.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(50);

/// Why a call ended as it did. The message is part of its log line and of the
/// response body of a refusal.
enum class RelayReason {
  None = 0,
  NoConfig = 1,
  NoRoute,
  BadKey,
  BadTokenCounts,
  BudgetExhausted,
  BudgetNotInHand,
  NoTarget,
  TargetsFull,
  TargetUnreachable,
  TargetLost,
  MalformedResponse,
  ResendBudgetEmpty,
  DeadlinePassed,
  CallerGone,
  Quarantined,
  Overloaded,
  Stopping,
  RateLimited,
  StreamVersionUnknown,
  StreamVersionNotServed,
  OutOfMemory,
  Evacuated,
  HostOverloaded,
  TargetsCold,
  CannotStart,
  OutOfReach,
  NotOfFleet,
  ConfigOld,
  ConfigUnreadable,
  NoAttemptId,
};

std::error_code make_error_code(RelayReason Value);

/// Formats the response body with which the relay refuses a call.
std::string refusalBody(RelayReason Reason, RelayEnd End);

struct RelayOutcome {
  RelayEnd End = RelayEnd::NotRun;
  RelayReason Reason = RelayReason::None;
  /// The HTTP status sent to the caller.
  unsigned Status = 0;
  /// The last target to which the call was sent, or was to be sent.
  std::string Target;
  /// The other host that took the call, if this one forwarded it.
  std::string Host;
  /// How many times the call was sent to a target.
  unsigned Sends = 0;
  std::uint32_t Events = 0;
  std::int64_t TokensCharged = 0;
  Duration TokensWait{};
  /// The time in the queue of the service.
  Duration QueueWait{};
  Duration FirstEvent{};
  Duration Total{};
};

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::RelayReason> : std::true_type {};

#endif
