/// \file
/// Log lines, each one JSON object, on standard output. No body and no secret
/// of a caller is ever a field of one.

#ifndef BERGAMOTHOOK_LIBOBSERVE_STRUCTUREDLOG_H
#define BERGAMOTHOOK_LIBOBSERVE_STRUCTUREDLOG_H

#include "LibBase/Result.h"
#include "LibObserve/LogBound.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace bergamothook {

/// Prepares easylogging++ for this process. Call it once, before any line.
void startLogging(std::string_view Service, std::string_view Host,
                  LogLevel Lowest);

/// Lets a thread of its own write the lines from now on, no more than \p Limits
/// allow. What is dropped is counted and told in lines "log_lines_dropped".
void startLogWriter(LogVolume Limits);

/// Waits until the lines so far are written, for \p Timeout at the most.
void drainLog(Duration Timeout);

/// Writes one line with the name of the event and its fields.
void logEvent(LogLevel Level, std::string_view Event,
              const nlohmann::json &Fields);

/// Reads the name of a level: debug, info, warning or error.
Result<LogLevel> logLevelOfName(std::string_view Name);

} // namespace bergamothook

#endif
