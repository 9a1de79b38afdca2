#include "SuspectService.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

SuspectService::SuspectService(Incarnation Self, const LogHooks &Log,
                               const Runtime &Tasks, std::uint64_t Seed)
    : Self(Self), Tasks(Tasks), Rng(Seed), Registry(Self.Host, {}),
      Stream(SuspectStream, Log, Tasks,
             makeFollowerHooks(SuspectStream,
                               [this](const StreamRecord &Record,
                                      RecordPosition) { this->apply(Record); }),
             {}, Seed) {}

void SuspectService::apply(const StreamRecord &Record) {
  auto Applied = applySuspectRecord(this->Registry, Record, this->Tasks.Now());
  if (!Applied)
    logEvent(LogLevel::Warning, "suspect_record_malformed",
             {{"record", toHex(Record.Id)}});
}

void SuspectService::publish(StreamRecord Record) {
  // If the queue is full the record is dropped. Other hosts then miss this
  // report, which has no other effect.
  if (!this->Stream.Appender.submit(std::move(Record)))
    logEvent(LogLevel::Warning, "suspect_record_dropped", {});
}

Result<void> SuspectService::admit(Hash128 Content, TimePoint Now) const {
  return this->Registry.admit(Content, Now);
}

std::vector<TargetId> SuspectService::targetsToAvoid(Hash128 Content,
                                                     TimePoint Now) const {
  return this->Registry.targetsToAvoid(Content, Now);
}

void SuspectService::started(Hash128 Content, TargetId Target) {
  this->Registry.started(Content, Target);
}

void SuspectService::ended(Hash128 Content, TargetId Target) {
  this->Registry.ended(Content, Target);
}

void SuspectService::crashed(Hash128 Content, TargetId Target, TimePoint Now) {
  auto Report =
      this->Registry.crashed(Content, Target, this->Rng.next128(), Now);
  if (!Report)
    return;
  logEvent(LogLevel::Warning, "target_crashed",
           {{"target", toHex(Target.Value)},
            {"in_flight", Report->Contents.size()}});
  this->publish(makeCrashRecord(this->Self, *Report));
}

void SuspectService::cleared(Hash128 Content) {
  if (this->Registry.cleared(Content))
    this->publish(makeSuspectRecord(this->Rng.next128(), this->Self,
                                    SuspectRecordKind::Cleared, Content));
}

Result<void> SuspectService::lift(Hash128 Content) {
  this->Registry.lift(Content);
  return this->Stream.Appender.submit(makeSuspectRecord(
      this->Rng.next128(), this->Self, SuspectRecordKind::Lifted, Content));
}

std::vector<SuspectSummary> SuspectService::list(TimePoint Now) const {
  return this->Registry.list(Now);
}

} // namespace bergamothook
