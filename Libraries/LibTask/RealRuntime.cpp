#include "LibTask/RealRuntime.h"

#include "LibTask/TaskStack.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <mutex>

namespace bergamothook {

namespace {

constexpr std::size_t InboxCapacity = 16384;
constexpr Duration StopPollInterval = std::chrono::milliseconds(200);

void waitOnRealClock(Event &Signal, std::uint64_t SeenGeneration,
                     TimePoint Deadline) {
  std::unique_lock Guard(Signal.Lock);
  if (Signal.Generation != SeenGeneration)
    return;
  Signal.Changed.wait_until(Guard, Deadline);
}

} // namespace

RealRuntime::RealRuntime() : Inbox(InboxCapacity) {}

Runtime RealRuntime::hooks() {
  Runtime Hooks;
  Hooks.Now = readMonotonicClock;
  Hooks.Spawn = [this](std::function<void()> Task) {
    this->spawn(std::move(Task));
  };
  Hooks.WaitOn = waitOnRealClock;
  return Hooks;
}

bool RealRuntime::post(std::function<void()> Task) {
  return this->Inbox.push(std::move(Task));
}

void RealRuntime::run() {
  Runtime Hooks = this->hooks();
  while (!this->Stopping) {
    auto Task = this->Inbox.pop(Hooks, Hooks.Now() + StopPollInterval);
    if (Task)
      this->spawn(std::move(*Task));
  }
}

void RealRuntime::stop() { this->Stopping = true; }

void RealRuntime::spawn(std::function<void()> Task) {
  boost::fibers::fiber(std::allocator_arg,
                       boost::fibers::fixedsize_stack(detail::TaskStackBytes),
                       std::move(Task))
      .detach();
}

} // namespace bergamothook
