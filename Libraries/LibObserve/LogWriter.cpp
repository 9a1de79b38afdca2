#include "LibObserve/LogWriter.h"

namespace bergamothook {

LogWriter::LogWriter(std::size_t WaitingBytes, Sink Write)
    : WaitingBytes(WaitingBytes), Write(std::move(Write)),
      Worker([this] { this->run(); }) {}

LogWriter::~LogWriter() {
  {
    std::lock_guard Lock(this->Guard);
    this->IsStopped = true;
  }
  this->HasChanged.notify_all();
  this->Worker.join();
}

bool LogWriter::put(LogLevel Level, std::string Line) {
  {
    std::lock_guard Lock(this->Guard);
    if (this->Bytes + Line.size() > this->WaitingBytes)
      return false;
    this->Bytes += Line.size();
    this->Lines.push_back({Level, std::move(Line)});
  }
  this->HasChanged.notify_all();
  return true;
}

bool LogWriter::drain(Duration Timeout) {
  std::unique_lock Lock(this->Guard);
  return this->HasChanged.wait_for(Lock, Timeout, [this] {
    return this->Lines.empty() && !this->IsWriting;
  });
}

void LogWriter::run() {
  std::unique_lock Lock(this->Guard);
  for (;;) {
    this->HasChanged.wait(
        Lock, [this] { return this->IsStopped || !this->Lines.empty(); });
    if (this->IsStopped)
      return;
    Waiting Next = std::move(this->Lines.front());
    this->Lines.pop_front();
    this->IsWriting = true;
    Lock.unlock();
    this->Write(Next.Level, Next.Line);
    Lock.lock();
    this->IsWriting = false;
    this->Bytes -= Next.Line.size();
    this->HasChanged.notify_all();
  }
}

} // namespace bergamothook
