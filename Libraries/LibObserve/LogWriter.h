/// \file
/// Writes log lines on a dedicated thread, so that a slow reader of the log
/// does not block the threads that log.

#ifndef BERGAMOTHOOK_LIBOBSERVE_LOGWRITER_H
#define BERGAMOTHOOK_LIBOBSERVE_LOGWRITER_H

#include "LibObserve/LogRateLimiter.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace bergamothook {

class LogWriter {
public:
  /// Writes one line. May block.
  using Sink = std::function<void(LogLevel, const std::string &Line)>;

  /// The queued lines, including the one being written, take at most
  /// \p MaxQueuedBytes.
  LogWriter(std::size_t MaxQueuedBytes, Sink Write);

  /// Waits for the line being written and discards the queued ones.
  ~LogWriter();

  /// Queues a line without blocking. \returns false if the queue is full.
  bool enqueue(LogLevel Level, std::string Line);

  /// Waits up to \p Timeout for all queued lines to be written. \returns
  /// whether they were.
  bool drain(Duration Timeout);

private:
  struct QueuedLine {
    LogLevel Level;
    std::string Line;
  };

  void run();

  std::size_t MaxQueuedBytes;
  Sink Write;
  std::mutex Lock;
  std::condition_variable Changed;
  std::deque<QueuedLine> Queue;
  std::size_t QueuedBytes = 0;
  bool IsWriting = false;
  bool IsStopping = false;
  std::thread Worker;
};

} // namespace bergamothook

#endif
