#include "LibConfig/ConfigPublisher.h"

#include <algorithm>

namespace bergamothook {

namespace {
constexpr Duration AppendTimeout = std::chrono::seconds(2);
constexpr Duration ReadBackTimeout = std::chrono::seconds(1);
constexpr Duration PollInterval = std::chrono::milliseconds(50);
} // namespace

Result<ConfigVerdict> ConfigPublisher::publish(const ConfigChange &Change,
                                               TimePoint Deadline) {
  StreamRecord Record = recordOfChange(Change, this->Self);
  auto Readable = decodeChange(Change.Id, Record.Body);
  if (!Readable)
    return ConfigVerdict{false, this->Replica.fold().revision(),
                         Readable.error()};
  auto Preview = this->Replica.fold().preview(Change);
  if (!Preview && !this->Replica.fold().verdictOf(Change.Id))
    return ConfigVerdict{false, this->Replica.fold().revision(),
                         Preview.error()};
  bool MayBeAppended = false;
  std::error_code LastFailure = LogError::Unreachable;
  while (this->Tasks.Now() < Deadline) {
    TimePoint Now = this->Tasks.Now();
    auto At = this->Log.Append(ConfigStream, encodeBatch({Record}),
                               std::min(Deadline, Now + AppendTimeout));
    if (!At && provesNoEffect(At.error())) {
      LastFailure = At.error();
      this->Tasks.sleepUntil(this->Tasks.Now() + PollInterval);
    } else {
      MayBeAppended = true;
    }
    if (!MayBeAppended)
      continue;
    TimePoint Until = std::min(Deadline, this->Tasks.Now() + ReadBackTimeout);
    if (auto Verdict = this->readBack(Change.Id, Until))
      return *Verdict;
  }
  if (MayBeAppended)
    return ConfigError::OutcomeUnknown;
  return LastFailure;
}

std::optional<ConfigVerdict> ConfigPublisher::readBack(RecordId Id,
                                                       TimePoint Until) {
  for (;;) {
    (void)this->Reader.readToEnd();
    // Another host may have handed the record over as well.
    if (auto Verdict = this->Replica.fold().verdictOf(Id))
      return Verdict;
    if (this->Tasks.Now() >= Until)
      return std::nullopt;
    this->Tasks.sleepUntil(this->Tasks.Now() + PollInterval);
  }
}

} // namespace bergamothook
