#include "LibStandin/MemoryLogHooks.h"

namespace bergamothook {

namespace {

constexpr Duration ReadPollInterval = std::chrono::milliseconds(5);

Result<LogPage> pollUntilEntries(MemoryLog &Log, const Runtime &Tasks,
                                 const std::string &Stream, Offset From,
                                 std::size_t MaxEntries, Duration Wait) {
  TimePoint Deadline = Tasks.Now() + Wait;
  for (;;) {
    auto Page = Log.read(Stream, From, MaxEntries, Tasks.Now());
    if (!Page || !Page.value().Entries.empty() || Tasks.Now() >= Deadline)
      return Page;
    Tasks.sleepUntil(std::min(Deadline, Tasks.Now() + ReadPollInterval));
  }
}

} // namespace

LogHooks makeMemoryLogHooks(MemoryLog &Log, const Runtime &Tasks,
                            std::function<bool()> IsDisconnected) {
  LogHooks Hooks;
  Hooks.Append = [&Log, Tasks, IsDisconnected](
                     const std::string &Stream, std::string Payload,
                     TimePoint Deadline) -> Result<Offset> {
    if (IsDisconnected && IsDisconnected())
      return LogError::Unreachable;
    Duration Latency = Log.Faults.Latency;
    Tasks.sleepUntil(std::min(Deadline, Tasks.Now() + Latency));
    auto At = Log.append(Stream, std::move(Payload), Tasks.Now());
    if (At && (Tasks.Now() >= Deadline || (IsDisconnected && IsDisconnected())))
      return LogError::ResponseLost;
    return At;
  };
  Hooks.Read = [&Log, Tasks, IsDisconnected](
                   const std::string &Stream, Offset From,
                   std::size_t MaxEntries, Duration Wait) -> Result<LogPage> {
    if (IsDisconnected && IsDisconnected())
      return LogError::Unreachable;
    Tasks.sleepUntil(Tasks.Now() + Log.Faults.Latency);
    return pollUntilEntries(Log, Tasks, Stream, From, MaxEntries, Wait);
  };
  return Hooks;
}

} // namespace bergamothook
