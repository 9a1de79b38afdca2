#include "ConfigWatch.h"

#include "LibObserve/StructuredLog.h"
#include "StreamLink.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

ConfigWatch::ConfigWatch(LogHooks Log, Runtime Tasks, std::uint64_t Seed)
    : Follower(ConfigStream, Offset{0}, std::move(Log), std::move(Tasks),
               this->followerHooks(), {}, Seed) {}

StreamFollowerHooks ConfigWatch::followerHooks() {
  return followerHooksFor(
      ConfigStream, [this](const StreamRecord &Record, RecordPosition At) {
        auto Verdict = this->Fold.apply(Record, At);
        if (!Verdict)
          return;
        logEvent(LogLevel::Info, "configuration_change",
                 {{"change", toHex(Record.Id)},
                  {"is_accepted", Verdict->IsAccepted},
                  {"revision", Verdict->At.Value}});
        if (Verdict->IsAccepted && this->OnChange)
          this->OnChange(this->Fold.snapshot());
      });
}

} // namespace bergamothook
