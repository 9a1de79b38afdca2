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
  auto Decoded = decodeChange(Change.Id, Record.Body);
  if (!Decoded)
    return ConfigVerdict{false, this->Replica.fold().revision(),
                         Decoded.error()};
  auto Preview = this->Replica.fold().preview(Change);
  if (!Preview && !this->Replica.fold().verdictOf(Change.Id))
    return ConfigVerdict{false, this->Replica.fold().revision(),
                         Preview.error()};
  bool MayBeAppended = false;
  std::error_code LastFailure = LogError::Unreachable;
  while (this->Tasks.Now() < Deadline) {
    TimePoint Now = this->Tasks.Now();
    auto AppendedAt = this->Log.Append(ConfigStream, encodeBatch({Record}),
                                       std::min(Deadline, Now + AppendTimeout));
    if (!AppendedAt && provesNoEffect(AppendedAt.error())) {
      LastFailure = AppendedAt.error();
      this->Tasks.sleepUntil(this->Tasks.Now() + PollInterval);
    } else {
      MayBeAppended = true;
    }
    if (!MayBeAppended)
      continue;
    TimePoint WaitDeadline =
        std::min(Deadline, this->Tasks.Now() + ReadBackTimeout);
    if (auto Verdict = this->waitForVerdict(Change.Id, WaitDeadline))
      return *Verdict;
  }
  if (MayBeAppended)
    return ConfigError::OutcomeUnknown;
  return LastFailure;
}

std::optional<ConfigVerdict>
ConfigPublisher::waitForVerdict(RecordId Id, TimePoint WaitDeadline) {
  for (;;) {
    (void)this->Reader.readToEnd();
    // The record may also have been received from another host.
    if (auto Verdict = this->Replica.fold().verdictOf(Id))
      return Verdict;
    if (this->Tasks.Now() >= WaitDeadline)
      return std::nullopt;
    this->Tasks.sleepUntil(this->Tasks.Now() + PollInterval);
  }
}

} // namespace bergamothook
