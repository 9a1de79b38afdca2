#include "LibObserve/LogWriter.h"

namespace bergamothook {

LogWriter::LogWriter(std::size_t MaxQueuedBytes, Sink Write)
    : MaxQueuedBytes(MaxQueuedBytes), Write(std::move(Write)),
      Worker([this] { this->run(); }) {}

LogWriter::~LogWriter() {
  {
    std::lock_guard Guard(this->Lock);
    this->IsStopping = true;
  }
  this->Changed.notify_all();
  this->Worker.join();
}

bool LogWriter::enqueue(LogLevel Level, std::string Line) {
  {
    std::lock_guard Guard(this->Lock);
    if (this->QueuedBytes + Line.size() > this->MaxQueuedBytes)
      return false;
    this->QueuedBytes += Line.size();
    this->Queue.push_back({Level, std::move(Line)});
  }
  this->Changed.notify_all();
  return true;
}

bool LogWriter::drain(Duration Timeout) {
  std::unique_lock Guard(this->Lock);
  return this->Changed.wait_for(Guard, Timeout, [this] {
    return this->Queue.empty() && !this->IsWriting;
  });
}

void LogWriter::run() {
  std::unique_lock Guard(this->Lock);
  for (;;) {
    this->Changed.wait(
        Guard, [this] { return this->IsStopping || !this->Queue.empty(); });
    if (this->IsStopping)
      return;
    QueuedLine Next = std::move(this->Queue.front());
    this->Queue.pop_front();
    this->IsWriting = true;
    Guard.unlock();
    this->Write(Next.Level, Next.Line);
    Guard.lock();
    this->IsWriting = false;
    this->QueuedBytes -= Next.Line.size();
    this->Changed.notify_all();
  }
}

} // namespace bergamothook
