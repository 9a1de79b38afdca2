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
      Limits(Limits), Rng(Seed) {}

Result<void> StreamAppender::submit(StreamRecord Record) {
  if (this->Records.size() >= this->Limits.MaxQueuedRecords)
    return StreamError::QueueFull;
  RecordId Id = Record.Id;
  if (!this->Records.emplace(Id, Pending{std::move(Record)}).second)
    return success();
  this->Unsent.push_back(Id);
  this->Submitted.notify();
  return success();
}

Result<RecordPosition> StreamAppender::submitAndWait(StreamRecord Record,
                                                     TimePoint Deadline) {
  RecordId Id = Record.Id;
  BOOST_OUTCOME_TRYV(this->submit(std::move(Record)));
  this->Records[Id].HasWaiter = true;
  bool IsRead = this->Tasks.waitUntil(
      this->ReadBack, Deadline, [&] { return this->Confirmed.contains(Id); });
  if (!IsRead) {
    if (auto Unconfirmed = this->Records.find(Id);
        Unconfirmed != this->Records.end())
      Unconfirmed->second.HasWaiter = false;
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
  if (Known->second.HasWaiter)
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

bool StreamAppender::hasDueRecord(TimePoint Now) {
  return this->nextDue() <= Now;
}

void StreamAppender::dropConfirmed() {
  while (!this->Unsent.empty() && !this->Records.contains(this->Unsent.front()))
    this->Unsent.pop_front();
  while (!this->InFlight.empty() &&
         !this->Records.contains(this->InFlight.front().Id))
    this->InFlight.pop_front();
}

TimePoint StreamAppender::nextDue() {
  this->dropConfirmed();
  if (!this->Unsent.empty())
    return TimePoint{};
  return this->InFlight.empty() ? TimePoint::max() : this->InFlight.front().Due;
}

void StreamAppender::requeueOverdue(TimePoint Now) {
  std::vector<RecordId> Overdue;
  this->dropConfirmed();
  while (!this->InFlight.empty() && this->InFlight.front().Due <= Now) {
    Overdue.push_back(this->InFlight.front().Id);
    this->InFlight.pop_front();
  }
  this->Unsent.insert(this->Unsent.begin(), Overdue.begin(), Overdue.end());
}

std::vector<StreamRecord> StreamAppender::takeBatch(TimePoint Now) {
  std::vector<StreamRecord> Batch;
  std::size_t Bytes = 0;
  this->requeueOverdue(Now);
  while (!this->Unsent.empty()) {
    auto Known = this->Records.find(this->Unsent.front());
    if (Known != this->Records.end()) {
      Bytes += Known->second.Record.Body.size() + EnvelopeBytes;
      if (!Batch.empty() && Bytes > this->Limits.MaxBatchBytes)
        break;
      Batch.push_back(Known->second.Record);
    }
    this->Unsent.pop_front();
  }
  return Batch;
}

void StreamAppender::requeue(const std::vector<StreamRecord> &Batch) {
  std::vector<RecordId> Ids;
  for (const auto &Record : Batch)
    Ids.push_back(Record.Id);
  this->Unsent.insert(this->Unsent.begin(), Ids.begin(), Ids.end());
}

Duration StreamAppender::nextBackoff() {
  constexpr std::uint32_t MaxDoublings = 16;
  std::uint32_t Doublings =
      std::min(this->Health.ConsecutiveFailures - 1, MaxDoublings);
  Duration Base = std::min(this->Limits.MaxBackoff,
                           this->Limits.InitialBackoff * (1U << Doublings));
  return this->Rng.jitter(Base);
}

void StreamAppender::sendBatch() {
  TimePoint Now = this->Tasks.Now();
  std::vector<StreamRecord> Batch = this->takeBatch(Now);
  if (Batch.empty())
    return;
  auto AppendedAt = this->Log.Append(this->Stream, encodeBatch(Batch),
                                     Now + this->Limits.AppendTimeout);
  ++this->Health.Appends;
  // If the append certainly had no effect, the records are due again at once.
  // If the response was lost, they wait for the read-back first; a duplicate is
  // harmless, since the fold ignores it.
  if (!AppendedAt && provesNoEffect(AppendedAt.error()))
    this->requeue(Batch);
  else
    for (const auto &Record : Batch)
      this->InFlight.push_back({Record.Id, Now + this->Limits.ReadBackTimeout});
  if (AppendedAt) {
    this->Health.ConsecutiveFailures = 0;
    return;
  }
  ++this->Health.Failures;
  ++this->Health.ConsecutiveFailures;
  TimePoint Until = this->Tasks.Now() + this->nextBackoff();
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
