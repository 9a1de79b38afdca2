/// \file
/// How a caller's connection ended, and what was unanswered on it.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_CONNECTIONEND_H
#define BERGAMOTHOOK_LIBRELAYFRONT_CONNECTIONEND_H

#include "LibBase/Time.h"

#include <cstddef>

namespace bergamothook {

/// Who or what ended a connection.
enum class ConnectionEndCause {
  /// The caller closed it, or it was lost.
  Caller,
  /// The caller's request or the host's response announced it.
  Announced,
  /// No request arrived within the idle timeout.
  IdleTimeout,
  /// The host stops.
  Stop,
  /// The port had too many connections.
  Eviction,
  /// The message was refused.
  Refusal,
  /// The call ended without a complete response.
  Call,
  /// The connection's task failed.
  TaskFailure,
};

const char *nameOf(ConnectionEndCause Cause);

/// The end of one connection, for its log line.
struct ConnectionEnd {
  ConnectionEndCause Cause = ConnectionEndCause::Caller;
  /// Received bytes of requests that were not answered.
  std::size_t UnansweredBytes = 0;
  /// How long the connection had been idle, the timeout that applied, and how
  /// much later than the end of its wait the task ran.
  Duration Idle{};
  Duration IdleTimeout{};
  Duration Late{};

  /// \returns whether the host ended a connection on which it had answered all
  /// requests.
  bool wasIdle() const {
    return this->Cause == ConnectionEndCause::IdleTimeout ||
           this->Cause == ConnectionEndCause::Stop;
  }
};

} // namespace bergamothook

#endif
