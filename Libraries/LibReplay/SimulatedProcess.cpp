#include "LibReplay/SimulatedProcess.h"

#include <algorithm>

namespace bergamothook {

SimulatedProcess::SimulatedProcess(Runtime Base) : Base(std::move(Base)) {}

Runtime SimulatedProcess::hooks() {
  Runtime Hooks = this->Base;
  Hooks.Spawn = [this](std::function<void()> Task) {
    this->Base.Spawn([Task = std::move(Task)] {
      try {
        Task();
      } catch (const ProcessKilled &) {
        // Unwinding ends the task of a killed host.
      }
    });
  };
  Hooks.WaitOn = [this](Event &Signal, std::uint64_t Seen, TimePoint Deadline) {
    this->waitUntilRunning();
    this->Base.WaitOn(Signal, Seen, Deadline);
    this->waitUntilRunning();
  };
  return Hooks;
}

void SimulatedProcess::waitUntilRunning() {
  while (!this->Dead && this->Base.Now() < this->PauseEnd)
    this->Base.sleepUntil(this->PauseEnd);
  if (this->Dead)
    throw ProcessKilled{};
}

void SimulatedProcess::kill() { this->Dead = true; }

void SimulatedProcess::pauseUntil(TimePoint When) {
  this->PauseEnd = std::max(this->PauseEnd, When);
}

void SimulatedProcess::partitionUntil(TimePoint When) {
  this->PartitionEnd = std::max(this->PartitionEnd, When);
}

} // namespace bergamothook
