#include "LibTask/VirtualRuntime.h"

#include "LibTask/TaskStack.h"
#include "LibTask/VirtualScheduler.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/operations.hpp>
#include <mutex>

namespace bergamothook {

VirtualRuntime::VirtualRuntime() {
  detail::VirtualScheduler::installOnThread();
}

Runtime VirtualRuntime::hooks() {
  Runtime Hooks;
  Hooks.Now = [this] { return this->CurrentTime; };
  Hooks.Spawn = [this](std::function<void()> Task) {
    this->spawn(std::move(Task));
  };
  Hooks.WaitOn = [this](Event &Signal, std::uint64_t SeenGeneration,
                        TimePoint Deadline) {
    this->waitOn(Signal, SeenGeneration, Deadline);
  };
  return Hooks;
}

void VirtualRuntime::runFor(Duration Span) {
  TimePoint EndTime = this->CurrentTime + Span;
  this->runReadyTasks();
  while (this->advanceTo(EndTime))
    this->runReadyTasks();
  this->CurrentTime = EndTime;
}

bool VirtualRuntime::runUntil(const std::function<bool()> &Condition,
                              Duration Timeout) {
  TimePoint EndTime = this->CurrentTime + Timeout;
  this->runReadyTasks();
  while (!Condition()) {
    if (!this->advanceTo(EndTime))
      return Condition();
    this->runReadyTasks();
  }
  return true;
}

void VirtualRuntime::spawn(std::function<void()> Task) {
  boost::fibers::fiber(std::allocator_arg,
                       boost::fibers::fixedsize_stack(detail::TaskStackBytes),
                       std::move(Task))
      .detach();
}

void VirtualRuntime::waitOn(Event &Signal, std::uint64_t SeenGeneration,
                            TimePoint Deadline) {
  auto Timer = this->Timers.emplace(Deadline, &Signal);
  {
    std::unique_lock Guard(Signal.Lock);
    while (Signal.Generation == SeenGeneration && this->CurrentTime < Deadline)
      Signal.Changed.wait(Guard);
  }
  this->Timers.erase(Timer);
}

void VirtualRuntime::runReadyTasks() {
  boost::this_fiber::yield();
  while (detail::VirtualScheduler::readyTasks() > 0)
    boost::this_fiber::yield();
}

bool VirtualRuntime::advanceTo(TimePoint EndTime) {
  auto Next = this->Timers.upper_bound(this->CurrentTime);
  if (Next == this->Timers.end() || Next->first > EndTime)
    return false;
  this->CurrentTime = Next->first;
  // Woken tasks erase their timers only once they run, so the range remains
  // valid during the loop.
  auto Due = this->Timers.equal_range(this->CurrentTime);
  for (auto Timer = Due.first; Timer != Due.second; ++Timer)
    Timer->second->Changed.notify_all();
  return true;
}

} // namespace bergamothook
