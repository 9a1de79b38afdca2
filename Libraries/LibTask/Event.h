/// \file
/// The one thing a task waits for.

#ifndef BERGAMOTHOOK_LIBTASK_EVENT_H
#define BERGAMOTHOOK_LIBTASK_EVENT_H

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>

namespace bergamothook {

/// Counts notifications. A task reads the generation, checks its condition,
/// and waits only while the generation stays the same; thus no notification
/// between the check and the wait is missed. Any thread may notify.
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
