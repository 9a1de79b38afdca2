#include "LibNet/NetRuntime.h"

#include "LibNet/NetScheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <mutex>

namespace bergamothook {

namespace {

/// A relay task uses about 20 KB; the rest is headroom for JSON and error
/// paths.
constexpr std::size_t TaskStackBytes = 128 * 1024;

void waitOnSteadyClock(Event &Signal, std::uint64_t Seen, TimePoint Deadline) {
  std::unique_lock Guard(Signal.Lock);
  if (Signal.Generation != Seen)
    return;
  if (Deadline == TimePoint::max())
    Signal.Changed.wait(Guard);
  else
    Signal.Changed.wait_until(Guard, Deadline);
}

} // namespace

NetRuntime::NetRuntime()
    : Context(std::make_shared<boost::asio::io_context>(1)) {
  boost::fibers::use_scheduling_algorithm<detail::NetScheduler>(this->Context);
}

Runtime NetRuntime::hooks() {
  Runtime Hooks;
  Hooks.Now = readMonotonicClock;
  Hooks.Spawn = [Stacks = boost::fibers::pooled_fixedsize_stack(
                     TaskStackBytes)](std::function<void()> Task) mutable {
    boost::fibers::fiber(std::allocator_arg, Stacks, std::move(Task)).detach();
  };
  Hooks.WaitOn = waitOnSteadyClock;
  return Hooks;
}

void NetRuntime::run() {
  auto Work = boost::asio::make_work_guard(*this->Context);
  Runtime Hooks = this->hooks();
  Hooks.waitUntil(this->Stopped, TimePoint::max(),
                  [this] { return this->IsStopping; });
}

void NetRuntime::stop() {
  this->IsStopping = true;
  this->Stopped.notify();
}

} // namespace bergamothook
