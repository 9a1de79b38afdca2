#include "LibStream/StreamFollower.h"

namespace bergamothook {

StreamFollower::StreamFollower(std::string Stream, Offset From, LogHooks Log,
                               Runtime Tasks, StreamFollowerHooks Hooks,
                               StreamFollowerLimits Limits, std::uint64_t Seed)
    : Stream(std::move(Stream)), Next(From), Log(std::move(Log)),
      Tasks(std::move(Tasks)), Hooks(std::move(Hooks)), Limits(Limits),
      Rng(Seed) {}

Result<std::size_t> StreamFollower::step(Duration Wait) {
  auto Page = this->Log.Read(this->Stream, this->Next,
                             this->Limits.MaxEntriesPerRead, Wait);
  if (!Page && Page.error() == LogError::BelowRetention) {
    BOOST_OUTCOME_TRY(Covered, this->Hooks.Recover());
    this->Next = Covered;
    return std::size_t{0};
  }
  if (!Page)
    return Page.error();
  this->LastContact = this->Tasks.Now();
  for (const auto &Entry : Page.value().Entries) {
    this->apply(Entry);
    this->Next = Offset{Entry.At.Value + 1};
  }
  this->HasCaughtUp |= this->Next >= Page.value().Next;
  this->Progress.notify();
  return Page.value().Entries.size();
}

void StreamFollower::apply(const LogEntry &Entry) {
  auto Records = decodeBatch(Entry.Payload);
  if (!Records) {
    this->Hooks.Skip(Entry, Records.error());
    return;
  }
  RecordPosition Position{Entry.At, 0};
  for (const auto &Record : Records.value()) {
    this->Hooks.Apply(Record, Position);
    ++Position.Index;
  }
}

void StreamFollower::run() {
  while (!this->IsStopping) {
    auto Read = this->step(this->Limits.LongPoll);
    if (!Read)
      this->Tasks.sleepUntil(this->Tasks.Now() +
                             this->Rng.jitter(this->Limits.RetryInterval));
  }
}

void StreamFollower::stop() { this->IsStopping = true; }

bool StreamFollower::waitForCatchUp(TimePoint Deadline) {
  return this->Tasks.waitUntil(this->Progress, Deadline,
                               [this] { return this->HasCaughtUp; });
}

} // namespace bergamothook
