/// \file
/// The synchronization primitive on which tasks wait.

#ifndef BERGAMOTHOOK_LIBTASK_EVENT_H
#define BERGAMOTHOOK_LIBTASK_EVENT_H

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>

namespace bergamothook {

/// A condition variable with a generation counter, which notify() increments.
/// A task reads the generation, checks its condition, and waits only while the
/// generation is unchanged, so that a notification between the check and the
/// wait is not lost. Any thread may notify.
class Event {
public:
  std::uint64_t generation();
  void notify();

  boost::fibers::mutex Lock;
  boost::fibers::condition_variable Changed;
  std::uint64_t Generation = 0;
};

} // namespace bergamothook

#endif
