#include "LibObserve/StructuredLog.h"

#include "LibBase/Time.h"
#include "LibObserve/LogWriter.h"

#include <easylogging++.h>
#include <memory>
#include <mutex>
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

/// The bound and the thread behind the lines of this process.
struct BoundedLog {
  explicit BoundedLog(LogVolume Limits)
      : Bound(Limits, readMonotonicClock()),
        Writer(Limits.WaitingBytes, writeLine) {}

  std::mutex Guard;
  LogBound Bound;
  LogWriter Writer;
};

std::unique_ptr<BoundedLog> &boundedLog() {
  static std::unique_ptr<BoundedLog> Present;
  return Present;
}

std::string formatLine(LogLevel Level, std::string_view Event,
                       const nlohmann::json &Fields) {
  const LogIdentity &Present = identity();
  nlohmann::json Line = Fields;
  Line["time_ms"] = readWallClock().time_since_epoch().count();
  Line["level"] = nameOf(Level);
  Line["event"] = Event;
  Line["service"] = Present.Service;
  Line["host"] = Present.Host;
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void putBounded(BoundedLog &Log, LogLevel Level, std::string_view Event,
                std::string Line) {
  TimePoint Now = readMonotonicClock();
  std::lock_guard Lock(Log.Guard);
  DroppedLines Dropped = Log.Bound.takeDropped(Now);
  if (!Dropped.empty() &&
      !Log.Writer.put(LogLevel::Warning,
                      formatLine(LogLevel::Warning, "log_lines_dropped",
                                 {{"by_event", Dropped}})))
    for (const auto &[Untold, Lines] : Dropped)
      Log.Bound.countDropped(Untold, Lines);
  if (!Log.Bound.admit(Level, Line.size(), Now) ||
      !Log.Writer.put(Level, std::move(Line)))
    Log.Bound.countDropped(Event);
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
  if (Level < identity().Lowest)
    return;
  std::string Line = formatLine(Level, Event, Fields);
  if (BoundedLog *Log = boundedLog().get())
    putBounded(*Log, Level, Event, std::move(Line));
  else
    writeLine(Level, Line);
}

void startLogWriter(LogVolume Limits) {
  boundedLog() = std::make_unique<BoundedLog>(Limits);
}

void drainLog(Duration Timeout) {
  if (BoundedLog *Log = boundedLog().get())
    Log->Writer.drain(Timeout);
}

Result<LogLevel> logLevelOfName(std::string_view Name) {
  for (LogLevel Level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error})
    if (Name == nameOf(Level))
      return Level;
  return std::make_error_code(std::errc::invalid_argument);
}

} // namespace bergamothook
