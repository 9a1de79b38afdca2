#include "LibObserve/StructuredLog.h"

#include "LibBase/Time.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace bergamothook {

namespace {

struct LogIdentity {
  std::string Service;
  std::string Host;
  LogLevel Lowest = LogLevel::Info;
};

LogIdentity &identity() {
  static LogIdentity Present;
  return Present;
}

const char *nameOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "unknown";
}

void writeLine(LogLevel Level, const std::string &Line) {
  switch (Level) {
  case LogLevel::Debug:
    LOG(DEBUG) << Line;
    return;
  case LogLevel::Info:
    LOG(INFO) << Line;
    return;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    return;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    return;
  }
}

} // namespace

void startLogging(std::string_view Service, std::string_view Host,
                  LogLevel Lowest) {
  identity() = {std::string(Service), std::string(Host), Lowest};
  el::Configurations Layout;
  Layout.setToDefault();
  Layout.setGlobally(el::ConfigurationType::Format, "%msg");
  Layout.setGlobally(el::ConfigurationType::ToFile, "false");
  Layout.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(Layout);
}

void logEvent(LogLevel Level, std::string_view Event,
              const nlohmann::json &Fields) {
  const LogIdentity &Present = identity();
  if (Level < Present.Lowest)
    return;
  nlohmann::json Line = Fields;
  Line["time_ms"] = readWallClock().time_since_epoch().count();
  Line["level"] = nameOf(Level);
  Line["event"] = Event;
  Line["service"] = Present.Service;
  Line["host"] = Present.Host;
  writeLine(Level, Line.dump(-1, ' ', false,
                             nlohmann::json::error_handler_t::replace));
}

Result<LogLevel> logLevelOfName(std::string_view Name) {
  for (LogLevel Level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error})
    if (Name == nameOf(Level))
      return Level;
  return std::make_error_code(std::errc::invalid_argument);
}

} // namespace bergamothook
