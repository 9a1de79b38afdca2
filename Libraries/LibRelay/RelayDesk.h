/// \file
/// What all calls of one host share: the configuration in force, the targets,
/// the budgets. Serves calls to their end.

#ifndef BERGAMOTHOOK_LIBRELAY_RELAYDESK_H
#define BERGAMOTHOOK_LIBRELAY_RELAYDESK_H

#include "LibLoan/TokenBroker.h"
#include "LibObserve/Metrics.h"
#include "LibRelay/CrashList.h"
#include "LibRelay/RelayHooks.h"
#include "LibRelay/RelayOutcome.h"
#include "LibRelay/ResendBudget.h"
#include "LibRelay/TargetPicker.h"

namespace bergamothook {

struct RelaySettings {
  /// Names the process among those of the fleet.
  std::string Self;
  std::string OwnDomain;
  PickerPolicy Picker;
  ResendPolicy Resends;
  CrashPolicy Crashes;
  std::uint64_t Seed = 0;
};

/// All calls come from tasks of one runtime. The token desk and the
/// metrics outlive it.
class RelayDesk {
public:
  RelayDesk(RelaySettings Settings, RelayHooks Hooks, TokenBroker &Tokens,
            Metrics &Measured);

  /// Puts a version of the configuration in force. \returns false for one that
  /// is not newer than the present one.
  bool setConfig(RelayConfigPtr Config);

  /// The version in force; null before the first one.
  const RelayConfigPtr &config() const { return this->Config; }

  /// Answers one call. Blocks the calling task until the caller has its answer
  /// or has left.
  RelayOutcome serve(const RelayCall &Call, const CallerSide &Caller);

  /// Refuses a call that never became one.
  RelayOutcome refuse(const RelayCall &Call, const CallerSide &Caller,
                      unsigned Status, RelayReason Reason,
                      std::optional<Duration> RetryAfter = std::nullopt);

  TargetDirectory &targets() { return this->Targets; }
  CrashList &crashes() { return this->Crashes; }
  ResendBudget &resends() { return this->Resends; }
  TargetPicker &picker() { return this->Picker; }
  TokenBroker &tokens() { return this->TokenSource; }
  const RelayHooks &hooks() const { return this->Hooks; }
  Random &dice() { return this->Dice; }

private:
  void record(const RelayCall &Call, const RelayOutcome &Outcome);

  RelaySettings Settings;
  RelayHooks Hooks;
  TokenBroker &TokenSource;
  Metrics &Measured;
  RelayConfigPtr Config;
  TargetDirectory Targets;
  TargetPicker Picker;
  ResendBudget Resends;
  CrashList Crashes;
  Random Dice;
};

} // namespace bergamothook

#endif
