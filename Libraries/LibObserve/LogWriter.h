/// \file
/// Writes log lines on a thread of its own, so that a slow reader of the log
/// holds up nothing else.

#ifndef BERGAMOTHOOK_LIBOBSERVE_LOGWRITER_H
#define BERGAMOTHOOK_LIBOBSERVE_LOGWRITER_H

#include "LibObserve/LogBound.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace bergamothook {

class LogWriter {
public:
  /// Writes one line, and may block.
  using Sink = std::function<void(LogLevel, const std::string &Line)>;

  /// Lines that wait take \p WaitingBytes at the most.
  LogWriter(std::size_t WaitingBytes, Sink Write);

  /// Waits for the line that is being written; those behind it are lost.
  ~LogWriter();

  /// Hands a line over without blocking. \returns false if there is no room.
  bool put(LogLevel Level, std::string Line);

  /// Waits until all lines are written, for \p Timeout at the most. \returns
  /// whether they are.
  bool drain(Duration Timeout);

private:
  struct Waiting {
    LogLevel Level;
    std::string Line;
  };

  void run();

  std::size_t WaitingBytes;
  Sink Write;
  std::mutex Guard;
  std::condition_variable HasChanged;
  std::deque<Waiting> Lines;
  std::size_t Bytes = 0;
  bool IsWriting = false;
  bool IsStopped = false;
  std::thread Worker;
};

} // namespace bergamothook

#endif
