/// \file
/// A bounded queue between tasks, or from any thread to a task.

#ifndef BERGAMOTHOOK_LIBTASK_CHANNEL_H
#define BERGAMOTHOOK_LIBTASK_CHANNEL_H

#include "LibTask/Runtime.h"

#include <deque>
#include <mutex>
#include <optional>

namespace bergamothook {

/// A first-in-first-out queue of at most \p Capacity values. Any thread may
/// push; tasks of one runtime pop.
template <typename T> class Channel {
public:
  explicit Channel(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds \p Value. \returns false when the channel is full or closed.
  bool push(T Value) {
    {
      std::lock_guard Guard(this->Lock);
      if (this->Closed || this->Values.size() >= this->Capacity)
        return false;
      this->Values.push_back(std::move(Value));
    }
    this->Signal.notify();
    return true;
  }

  /// Takes no further values. Values already in it can still be popped.
  void close() {
    {
      std::lock_guard Guard(this->Lock);
      this->Closed = true;
    }
    this->Signal.notify();
  }

  /// Takes the oldest value, waiting for one until \p Deadline. \returns
  /// nothing at the deadline, or when the channel is closed and empty.
  std::optional<T> pop(const Runtime &Tasks, TimePoint Deadline) {
    std::optional<T> Value;
    Tasks.waitUntil(this->Signal, Deadline, [&] {
      std::lock_guard Guard(this->Lock);
      if (!this->Values.empty()) {
        Value = std::move(this->Values.front());
        this->Values.pop_front();
      }
      return Value.has_value() || this->Closed;
    });
    return Value;
  }

  bool isClosed() {
    std::lock_guard Guard(this->Lock);
    return this->Closed;
  }

  std::size_t size() {
    std::lock_guard Guard(this->Lock);
    return this->Values.size();
  }

private:
  std::size_t Capacity;
  std::mutex Lock;
  std::deque<T> Values;
  bool Closed = false;
  Event Signal;
};

} // namespace bergamothook

#endif
