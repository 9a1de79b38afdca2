#include "LibNet/NetScheduler.h"

namespace bergamothook::detail {

void NetScheduler::awakened(boost::fibers::context *Fiber) noexcept {
  Fiber->ready_link(this->Ready);
}

boost::fibers::context *NetScheduler::pick_next() noexcept {
  if (this->Ready.empty())
    return nullptr;
  boost::fibers::context *Next = &this->Ready.front();
  this->Ready.pop_front();
  return Next;
}

bool NetScheduler::has_ready_fibers() const noexcept {
  return !this->Ready.empty();
}

void NetScheduler::suspend_until(
    const std::chrono::steady_clock::time_point &When) noexcept {
  this->Context->restart();
  if (When == std::chrono::steady_clock::time_point::max())
    this->Context->run_one();
  else
    this->Context->run_one_until(When);
  this->Context->poll();
}

} // namespace bergamothook::detail
