#include "LibReplay/HostGate.h"

#include <algorithm>

namespace bergamothook {

HostGate::HostGate(Runtime Base) : Base(std::move(Base)) {}

Runtime HostGate::hooks() {
  Runtime Hooks = this->Base;
  Hooks.Spawn = [this](std::function<void()> Task) {
    this->Base.Spawn([Task = std::move(Task)] {
      try {
        Task();
      } catch (const HostGone &) {
        // The task ends with its host.
      }
    });
  };
  Hooks.WaitOn = [this](Event &Signal, std::uint64_t Seen, TimePoint Deadline) {
    this->pass();
    this->Base.WaitOn(Signal, Seen, Deadline);
    this->pass();
  };
  return Hooks;
}

void HostGate::pass() {
  while (!this->Dead && this->Base.Now() < this->PauseEnd)
    this->Base.sleepUntil(this->PauseEnd);
  if (this->Dead)
    throw HostGone{};
}

void HostGate::kill() { this->Dead = true; }

void HostGate::pauseUntil(TimePoint When) {
  this->PauseEnd = std::max(this->PauseEnd, When);
}

void HostGate::cutUntil(TimePoint When) {
  this->CutEnd = std::max(this->CutEnd, When);
}

} // namespace bergamothook
