#include "LibTask/Event.h"

#include <mutex>

namespace bergamothook {

std::uint64_t Event::generation() {
  std::lock_guard Guard(this->Lock);
  return this->Generation;
}

void Event::notify() {
  {
    std::lock_guard Guard(this->Lock);
    ++this->Generation;
  }
  this->Changed.notify_all();
}

} // namespace bergamothook
