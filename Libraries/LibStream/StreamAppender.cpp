#include "LibStream/StreamAppender.h"

#include <algorithm>

namespace bergamothook {

namespace {
constexpr Duration IdleWait = std::chrono::milliseconds(200);
constexpr std::size_t EnvelopeBytes = 42;
} // namespace

StreamAppender::StreamAppender(std::string Stream, LogHooks Log, Runtime Tasks,
                               StreamAppenderLimits Limits, std::uint64_t Seed)
    : Stream(std::move(Stream)), Log(std::move(Log)), Tasks(std::move(Tasks)),
      Limits(Limits), Dice(Seed) {}

Result<void> StreamAppender::submit(StreamRecord Record) {
  if (this->Records.size() >= this->Limits.MaxQueuedRecords)
    return StreamError::QueueFull;
  RecordId Id = Record.Id;
  if (!this->Records.emplace(Id, Pending{std::move(Record)}).second)
    return success();
  this->Order.push_back(Id);
  this->Submitted.notify();
  return success();
}

Result<RecordPosition> StreamAppender::submitAndWait(StreamRecord Record,
                                                     TimePoint Deadline) {
  RecordId Id = Record.Id;
  BOOST_OUTCOME_TRYV(this->submit(std::move(Record)));
  this->Records[Id].IsWatched = true;
  bool IsRead = this->Tasks.waitUntil(
      this->ReadBack, Deadline, [&] { return this->Confirmed.contains(Id); });
  if (!IsRead) {
    if (auto Waiting = this->Records.find(Id); Waiting != this->Records.end())
      Waiting->second.IsWatched = false;
    return StreamError::NotConfirmed;
  }
  RecordPosition Position = this->Confirmed[Id];
  this->Confirmed.erase(Id);
  return Position;
}

void StreamAppender::confirm(RecordId Id, RecordPosition Position) {
  auto Known = this->Records.find(Id);
  if (Known == this->Records.end())
    return;
  if (Known->second.IsWatched)
    this->Confirmed.emplace(Id, Position);
  this->Records.erase(Known);
  this->ReadBack.notify();
}

StreamAppenderHealth StreamAppender::health() const {
  StreamAppenderHealth Present = this->Health;
  Present.Queued = this->Records.size();
  return Present;
}

bool StreamAppender::isFinished() const {
  if (!this->IsStopping)
    return false;
  return this->Records.empty() || this->Tasks.Now() >= this->StopDeadline;
}

bool StreamAppender::hasDueRecord(TimePoint Now) const {
  return this->nextDue() <= Now;
}

TimePoint StreamAppender::nextDue() const {
  TimePoint Earliest = TimePoint::max();
  for (const auto &Id : this->Order) {
    auto Known = this->Records.find(Id);
    if (Known == this->Records.end())
      continue;
    Earliest = std::min(Earliest, Known->second.Due);
    if (Earliest == TimePoint{})
      break;
  }
  return Earliest;
}

std::vector<StreamRecord> StreamAppender::takeBatch(TimePoint Now) {
  std::vector<StreamRecord> Batch;
  std::size_t Bytes = 0;
  std::erase_if(this->Order,
                [&](RecordId Id) { return !this->Records.contains(Id); });
  for (const auto &Id : this->Order) {
    Pending &Waiting = this->Records[Id];
    if (Waiting.Due > Now)
      continue;
    Bytes += Waiting.Record.Body.size() + EnvelopeBytes;
    if (!Batch.empty() && Bytes > this->Limits.MaxBatchBytes)
      break;
    Batch.push_back(Waiting.Record);
    Waiting.Due = Now + this->Limits.ReadBackTimeout;
  }
  return Batch;
}

Duration StreamAppender::backOff() {
  constexpr std::uint32_t MostDoublings = 16;
  std::uint32_t Doublings =
      std::min(this->Health.FailuresInARow - 1, MostDoublings);
  Duration Base = std::min(this->Limits.LongestBackOff,
                           this->Limits.FirstBackOff * (1U << Doublings));
  return this->Dice.jitter(Base);
}

void StreamAppender::sendBatch() {
  TimePoint Now = this->Tasks.Now();
  std::vector<StreamRecord> Batch = this->takeBatch(Now);
  if (Batch.empty())
    return;
  auto At = this->Log.Append(this->Stream, encodeBatch(Batch),
                             Now + this->Limits.AppendTimeout);
  ++this->Health.Appends;
  if (At) {
    this->Health.FailuresInARow = 0;
    return;
  }
  ++this->Health.Failures;
  ++this->Health.FailuresInARow;
  // Without an effect the records are due again at once. With an answer lost
  // they wait for the read-back first, and a second copy does no harm.
  if (provesNoEffect(At.error()))
    for (const auto &Record : Batch)
      if (auto Known = this->Records.find(Record.Id);
          Known != this->Records.end())
        Known->second.Due = TimePoint{};
  TimePoint Until = this->Tasks.Now() + this->backOff();
  if (this->IsStopping)
    Until = std::min(Until, this->StopDeadline);
  this->Tasks.sleepUntil(Until);
}

void StreamAppender::run() {
  while (!this->isFinished()) {
    TimePoint Now = this->Tasks.Now();
    TimePoint Wake = std::min(Now + IdleWait, this->nextDue());
    this->Tasks.waitUntil(this->Submitted, Wake, [&] {
      return this->IsStopping || this->hasDueRecord(this->Tasks.Now());
    });
    if (!this->hasDueRecord(this->Tasks.Now())) {
      if (this->IsStopping)
        this->Tasks.sleepUntil(this->Tasks.Now() + this->Limits.BatchInterval);
      continue;
    }
    this->Tasks.sleepUntil(this->Tasks.Now() + this->Limits.BatchInterval);
    this->sendBatch();
  }
}

void StreamAppender::stop(TimePoint Deadline) {
  this->IsStopping = true;
  this->StopDeadline = Deadline;
  this->Submitted.notify();
}

} // namespace bergamothook
