/// \file
/// Structured logging to standard output, one JSON object per line. Request
/// bodies and callers' secrets must never be logged.

#ifndef BERGAMOTHOOK_LIBOBSERVE_STRUCTUREDLOG_H
#define BERGAMOTHOOK_LIBOBSERVE_STRUCTUREDLOG_H

#include "LibBase/Result.h"
#include "LibObserve/LogRateLimiter.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace bergamothook {

/// Configures easylogging++ for this process. Call it once, before logging.
/// Events below \p MinLevel are not logged.
void startLogging(std::string_view Service, std::string_view Host,
                  LogLevel MinLevel);

/// Moves writing to a dedicated thread and limits the output to \p Limits.
/// Dropped lines are counted and reported by "log_lines_dropped" events.
void startLogWriter(LogRateLimits Limits);

/// Waits up to \p Timeout for all queued lines to be written.
void drainLog(Duration Timeout);

/// Logs one line with the event name and its fields.
void logEvent(LogLevel Level, std::string_view Event,
              const nlohmann::json &Fields);

/// Parses a level name: debug, info, warning or error.
Result<LogLevel> logLevelOfName(std::string_view Name);

} // namespace bergamothook

#endif
