/// \file
/// A bounded queue from tasks or threads to tasks.

#ifndef BERGAMOTHOOK_LIBTASK_CHANNEL_H
#define BERGAMOTHOOK_LIBTASK_CHANNEL_H

#include "LibTask/Runtime.h"

#include <deque>
#include <mutex>
#include <optional>

namespace bergamothook {

/// A FIFO queue of at most \p Capacity values. Any thread may push; only tasks
/// of a single runtime may pop.
template <typename T> class Channel {
public:
  explicit Channel(std::size_t Capacity) : Capacity(Capacity) {}

  /// Appends \p Value. \returns false if the channel is full or closed.
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

  /// Closes the channel to new values. Values already queued can still be
  /// popped.
  void close() {
    {
      std::lock_guard Guard(this->Lock);
      this->Closed = true;
    }
    this->Signal.notify();
  }

  /// Removes the oldest value, waiting for one until \p Deadline. \returns
  /// nothing at the deadline, or if the channel is closed and empty.
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
