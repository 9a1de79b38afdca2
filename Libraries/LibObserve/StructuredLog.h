/// \file
/// Log lines, each one JSON object, on standard output. No body and no secret
/// of a caller is ever a field of one.

#ifndef BERGAMOTHOOK_LIBOBSERVE_STRUCTUREDLOG_H
#define BERGAMOTHOOK_LIBOBSERVE_STRUCTUREDLOG_H

#include "LibBase/Result.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace bergamothook {

enum class LogLevel { Debug, Info, Warning, Error };

/// Prepares easylogging++ for this process. Call it once, before any line.
void startLogging(std::string_view Service, std::string_view Host,
                  LogLevel Lowest);

/// Writes one line with the name of the event and its fields.
void logEvent(LogLevel Level, std::string_view Event,
              const nlohmann::json &Fields);

/// Reads the name of a level: debug, info, warning or error.
Result<LogLevel> logLevelOfName(std::string_view Name);

} // namespace bergamothook

#endif
