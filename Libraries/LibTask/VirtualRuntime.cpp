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
  Hooks.Now = [this] { return this->Present; };
  Hooks.Spawn = [this](std::function<void()> Task) {
    this->spawn(std::move(Task));
  };
  Hooks.WaitOn = [this](Event &Signal, std::uint64_t Seen, TimePoint Deadline) {
    this->waitOn(Signal, Seen, Deadline);
  };
  return Hooks;
}

void VirtualRuntime::runFor(Duration Span) {
  TimePoint End = this->Present + Span;
  this->runReadyTasks();
  while (this->advanceTo(End))
    this->runReadyTasks();
  this->Present = End;
}

bool VirtualRuntime::runUntil(const std::function<bool()> &Condition,
                              Duration Limit) {
  TimePoint End = this->Present + Limit;
  this->runReadyTasks();
  while (!Condition()) {
    if (!this->advanceTo(End))
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

void VirtualRuntime::waitOn(Event &Signal, std::uint64_t Seen,
                            TimePoint Deadline) {
  auto Timer = this->Timers.emplace(Deadline, &Signal);
  {
    std::unique_lock Guard(Signal.Lock);
    while (Signal.Generation == Seen && this->Present < Deadline)
      Signal.Changed.wait(Guard);
  }
  this->Timers.erase(Timer);
}

void VirtualRuntime::runReadyTasks() {
  boost::this_fiber::yield();
  while (detail::VirtualScheduler::readyTasks() > 0)
    boost::this_fiber::yield();
}

bool VirtualRuntime::advanceTo(TimePoint Limit) {
  auto Next = this->Timers.upper_bound(this->Present);
  if (Next == this->Timers.end() || Next->first > Limit)
    return false;
  this->Present = Next->first;
  // The tasks that wake here erase their timers only when they run, so the
  // range stays valid while it is walked.
  auto Due = this->Timers.equal_range(this->Present);
  for (auto Timer = Due.first; Timer != Due.second; ++Timer)
    Timer->second->Changed.notify_all();
  return true;
}

} // namespace bergamothook
