#include "StreamLink.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

StreamLink::StreamLink(const std::string &Stream, const LogHooks &Log,
                       const Runtime &Tasks, StreamFollowerHooks Hooks,
                       std::uint64_t Seed)
    : Appender(Stream, Log, Tasks, {}, Seed),
      Follower(Stream, Offset{0}, Log, Tasks, this->confirming(Hooks), {},
               Seed),
      Tasks(Tasks) {}

StreamFollowerHooks StreamLink::confirming(StreamFollowerHooks Hooks) {
  auto Apply = Hooks.Apply;
  Hooks.Apply = [this, Apply](const StreamRecord &Record, RecordPosition At) {
    Apply(Record, At);
    this->Appender.confirm(Record.Id, At);
  };
  return Hooks;
}

void StreamLink::start() {
  this->Tasks.Spawn([this] { this->Appender.run(); });
  this->Tasks.Spawn([this] { this->Follower.run(); });
}

void StreamLink::stop(TimePoint Deadline) {
  this->Appender.stop(Deadline);
  this->Follower.stop();
}

StreamFollowerHooks followerHooksFor(
    const std::string &Stream,
    std::function<void(const StreamRecord &, RecordPosition)> Apply) {
  StreamFollowerHooks Made;
  Made.Apply = std::move(Apply);
  Made.Skip = [Stream](const LogEntry &Entry, std::error_code Reason) {
    logEvent(LogLevel::Warning, "log_entry_skipped",
             {{"stream", Stream},
              {"offset", Entry.At.Value},
              {"reason", Reason.message()}});
  };
  Made.Recover = []() -> Result<Offset> { return LogError::BelowRetention; };
  return Made;
}

} // namespace bergamothook
