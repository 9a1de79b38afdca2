#include "LogStreamClient.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

LogStreamClient::LogStreamClient(const std::string &Stream, const LogHooks &Log,
                                 const Runtime &Tasks,
                                 StreamFollowerHooks Hooks,
                                 StreamSnapshotHooks Snapshots,
                                 std::uint64_t Seed)
    : Appender(Stream, Log, Tasks, {}, Seed),
      Follower(Stream, Offset{0}, Log, Tasks, this->addConfirmation(Hooks), {},
               Seed),
      Tasks(Tasks), Snapshots(std::move(Snapshots)),
      Store(Stream, Log, Tasks, {}, Seed),
      Scheduler(
          this->Store,
          [this] {
            return StreamSnapshot{this->Follower.next(),
                                  this->Snapshots.Encode()};
          },
          Tasks, {}, Seed) {}

StreamFollowerHooks
LogStreamClient::addConfirmation(StreamFollowerHooks Hooks) {
  auto Apply = Hooks.Apply;
  Hooks.Apply = [this, Apply](const StreamRecord &Record,
                              RecordPosition Position) {
    Apply(Record, Position);
    this->Appender.confirm(Record.Id, Position);
  };
  Hooks.Recover = [this] { return this->restoreSnapshot(); };
  return Hooks;
}

/// Restores the newest snapshot if it covers more than has been read. \returns
/// the offset to continue from.
Result<Offset> LogStreamClient::restoreSnapshot() {
  if (!this->Snapshots.Restore)
    return LogError::BelowRetention;
  BOOST_OUTCOME_TRY(Newest, this->Store.newest());
  if (!Newest || Newest->Covered <= this->Follower.next())
    return LogError::BelowRetention;
  BOOST_OUTCOME_TRYV(this->Snapshots.Restore(Newest->Content));
  return Newest->Covered;
}

void LogStreamClient::start() {
  this->Tasks.Spawn([this] { this->Appender.run(); });
  this->Tasks.Spawn([this] { this->Follower.run(); });
  if (this->Snapshots.Encode)
    this->Tasks.Spawn([this] { this->Scheduler.run(); });
}

void LogStreamClient::stop(TimePoint Deadline) {
  this->Appender.stop(Deadline);
  this->Follower.stop();
  this->Scheduler.stop();
}

StreamFollowerHooks makeFollowerHooks(
    const std::string &Stream,
    std::function<void(const StreamRecord &, RecordPosition)> Apply) {
  StreamFollowerHooks Hooks;
  Hooks.Apply = std::move(Apply);
  Hooks.Skip = [Stream](const LogEntry &Entry, std::error_code Reason) {
    logEvent(LogLevel::Warning, "log_entry_skipped",
             {{"stream", Stream},
              {"offset", Entry.At.Value},
              {"reason", Reason.message()}});
  };
  return Hooks;
}

} // namespace bergamothook
