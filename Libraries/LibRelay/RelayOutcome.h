/// \file
/// How one relayed call ended.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYOUTCOME_H
#define BERGAMOTHOOK_LIBRELAY_RELAYOUTCOME_H

#include "LibBase/Time.h"

#include <string>
#include <system_error>

namespace bergamothook {

enum class RelayEnd {
  /// The caller has the target's whole answer.
  Done,
  /// The call has not run and will not.
  NotRun,
  /// The call may have run; the caller was told so.
  Unknown,
  /// The stream broke off after its first event.
  Broken,
  /// The caller left before the end.
  CallerLeft,
};

const char *nameOf(RelayEnd End);

/// Why a call ended as it did; the text of its log line and metric label.
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
  TargetGarbled,
  ResendBudgetEmpty,
  DeadlinePassed,
  CallerGone,
  Quarantined,
  Overloaded,
  Stopping,
};

std::error_code make_error_code(RelayReason Value);

/// Writes the body of an answer that the relay gives in place of a target.
std::string refusalBody(RelayReason Reason, RelayEnd End);

struct RelayOutcome {
  RelayEnd End = RelayEnd::NotRun;
  RelayReason Reason = RelayReason::None;
  /// The status that the caller got.
  unsigned Status = 0;
  /// The target that ran the call last, or was tried last.
  std::string Target;
  /// How often the call was sent to a target.
  unsigned Sends = 0;
  std::uint32_t Events = 0;
  std::int64_t TokensCharged = 0;
  Duration TokensWait{};
  Duration FirstEvent{};
  Duration Total{};
};

} // namespace bergamothook

template <>
struct std::is_error_code_enum<bergamothook::RelayReason> : std::true_type {};

#endif
