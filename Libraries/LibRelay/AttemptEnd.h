/// \file
/// What handling a call at a target and by way of another host have in common.

#ifndef BERGAMOTHOOK_LIBRELAY_ATTEMPTEND_H
#define BERGAMOTHOOK_LIBRELAY_ATTEMPTEND_H

#include "LibBase/Time.h"
#include "LibNet/HttpMessage.h"

#include <system_error>

namespace bergamothook::detail {

/// The largest response body that is buffered.
constexpr std::size_t MaxBufferedBytes = 8 * 1024 * 1024;
/// The minimum time left for a send: no target answers in less.
constexpr Duration MinTimeForSend = std::chrono::milliseconds(20);

/// How one attempt at one target, or by way of another host, ended.
enum class AttemptEnd {
  /// The caller has the complete answer.
  Done,
  /// No byte was sent.
  NotSent,
  /// No byte was sent, since the call was given up while it was connected.
  Withdrawn,
  /// No byte was sent, since the target is not known to be the listed run.
  RunUnknown,
  /// The target did not execute the call.
  NotRun,
  /// The target executed the call and reported a failure of its own.
  Failed,
  /// The call may have been executed; no usable answer was received.
  Lost,
  /// The answer is malformed.
  Malformed,
  /// There is no memory for the answer.
  OutOfMemory,
  /// The deadline passed.
  OutOfTime,
  /// The request crashed targets before, so it is not sent.
  Quarantined,
  /// All targets that are left are at their rate limits.
  RateLimited,
  /// It can't be known at which software version the stream began.
  VersionUnknown,
  /// No target serves that version.
  VersionNotServed,
  CallerLeft,
  /// The host stops before the end of the call.
  HostStops,
  /// All targets that are left are in evacuated failure domains.
  Evacuated,
  /// All targets that are left are cold, and there is no permit for them.
  Cold,
  /// This host reaches no target, and no other host takes the call.
  OutOfReach,
};

/// \returns the end of an attempt after a failure on its connection.
AttemptEnd attemptEndOf(std::error_code Failure);

bool isEventStream(const HttpResponseHead &Head);

} // namespace bergamothook::detail

#endif
