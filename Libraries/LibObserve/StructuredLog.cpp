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
  LogLevel MinLevel = LogLevel::Info;
};

LogIdentity &identity() {
  static LogIdentity Current;
  return Current;
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

/// The rate limiter and the writer thread of this process's log.
struct RateLimitedLog {
  explicit RateLimitedLog(LogRateLimits Limits)
      : Limiter(Limits, readMonotonicClock()),
        Writer(Limits.MaxQueuedBytes, writeLine) {}

  std::mutex Lock;
  LogRateLimiter Limiter;
  LogWriter Writer;
};

std::unique_ptr<RateLimitedLog> &rateLimitedLog() {
  static std::unique_ptr<RateLimitedLog> Current;
  return Current;
}

std::string formatLine(LogLevel Level, std::string_view Event,
                       const nlohmann::json &Fields) {
  const LogIdentity &Current = identity();
  nlohmann::json Line = Fields;
  Line["time_ms"] = readWallClock().time_since_epoch().count();
  Line["level"] = nameOf(Level);
  Line["event"] = Event;
  Line["service"] = Current.Service;
  Line["host"] = Current.Host;
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void enqueueLine(RateLimitedLog &Log, LogLevel Level, std::string_view Event,
                 std::string Line) {
  TimePoint Now = readMonotonicClock();
  std::lock_guard Guard(Log.Lock);
  DroppedLines Dropped = Log.Limiter.takeDropped(Now);
  if (!Dropped.empty() &&
      !Log.Writer.enqueue(LogLevel::Warning,
                          formatLine(LogLevel::Warning, "log_lines_dropped",
                                     {{"by_event", Dropped}})))
    for (const auto &[UnreportedEvent, Lines] : Dropped)
      Log.Limiter.countDropped(UnreportedEvent, Lines);
  if (!Log.Limiter.admit(Level, Line.size(), Now) ||
      !Log.Writer.enqueue(Level, std::move(Line)))
    Log.Limiter.countDropped(Event);
}

} // namespace

void startLogging(std::string_view Service, std::string_view Host,
                  LogLevel MinLevel) {
  identity() = {std::string(Service), std::string(Host), MinLevel};
  el::Configurations Configuration;
  Configuration.setToDefault();
  Configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  Configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  Configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(Configuration);
}

void logEvent(LogLevel Level, std::string_view Event,
              const nlohmann::json &Fields) {
  if (Level < identity().MinLevel)
    return;
  std::string Line = formatLine(Level, Event, Fields);
  if (RateLimitedLog *Log = rateLimitedLog().get())
    enqueueLine(*Log, Level, Event, std::move(Line));
  else
    writeLine(Level, Line);
}

void startLogWriter(LogRateLimits Limits) {
  rateLimitedLog() = std::make_unique<RateLimitedLog>(Limits);
}

void drainLog(Duration Timeout) {
  if (RateLimitedLog *Log = rateLimitedLog().get())
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
