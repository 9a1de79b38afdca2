#include "LibTask/VirtualScheduler.h"

#include <boost/fiber/operations.hpp>

namespace bergamothook::detail {

namespace {

thread_local std::size_t ReadyTasks = 0;
thread_local bool IsInstalled = false;

bool isTask(const boost::fibers::context *Fiber) {
  return Fiber->is_context(boost::fibers::type::worker_context);
}

} // namespace

void VirtualScheduler::installOnThread() {
  if (IsInstalled)
    return;
  IsInstalled = true;
  boost::fibers::use_scheduling_algorithm<VirtualScheduler>();
}

std::size_t VirtualScheduler::readyTasks() { return ReadyTasks; }

void VirtualScheduler::awakened(boost::fibers::context *Fiber) noexcept {
  Fiber->ready_link(this->Ready);
  if (isTask(Fiber))
    ++ReadyTasks;
}

boost::fibers::context *VirtualScheduler::pick_next() noexcept {
  if (this->Ready.empty())
    return nullptr;
  boost::fibers::context *Next = &this->Ready.front();
  this->Ready.pop_front();
  if (isTask(Next))
    --ReadyTasks;
  return Next;
}

bool VirtualScheduler::has_ready_fibers() const noexcept {
  return !this->Ready.empty();
}

} // namespace bergamothook::detail
