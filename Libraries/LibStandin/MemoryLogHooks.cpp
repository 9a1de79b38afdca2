#include "LibStandin/MemoryLogHooks.h"

namespace bergamothook {

namespace {

constexpr Duration ReadPollInterval = std::chrono::milliseconds(5);

Result<LogPage> readAndWait(MemoryLog &Log, const Runtime &Tasks,
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
                            std::function<bool()> IsCut) {
  LogHooks Hooks;
  Hooks.Append = [&Log, Tasks, IsCut](const std::string &Stream,
                                      std::string Payload,
                                      TimePoint Deadline) -> Result<Offset> {
    if (IsCut && IsCut())
      return LogError::Unreachable;
    Duration Latency = Log.Faults.Latency;
    Tasks.sleepUntil(std::min(Deadline, Tasks.Now() + Latency));
    auto At = Log.append(Stream, std::move(Payload), Tasks.Now());
    if (At && (Tasks.Now() >= Deadline || (IsCut && IsCut())))
      return LogError::ResponseLost;
    return At;
  };
  Hooks.Read = [&Log, Tasks, IsCut](const std::string &Stream, Offset From,
                                    std::size_t MaxEntries,
                                    Duration Wait) -> Result<LogPage> {
    if (IsCut && IsCut())
      return LogError::Unreachable;
    Tasks.sleepUntil(Tasks.Now() + Log.Faults.Latency);
    return readAndWait(Log, Tasks, Stream, From, MaxEntries, Wait);
  };
  return Hooks;
}

} // namespace bergamothook
