/// \file
/// Hedged requests: several attempts at the first chunk of one answer, of which
/// the first to succeed is used.

#ifndef BERGAMOTHOOK_LIBOUTCOME_HEDGERACE_H
#define BERGAMOTHOOK_LIBOUTCOME_HEDGERACE_H

#include "LibOutcome/StreamTask.h"

#include <deque>
#include <memory>

namespace bergamothook::detail {

/// The result of one attempt.
struct HedgeResult {
  StreamTarget Target;
  AttemptNumber Attempt;
  /// Why there is no stream; empty if the first chunk arrived.
  std::error_code Failure;
  EngineStream Stream;
};

/// The attempts of one hedged request. Each runs in a task of its own, which
/// may outlive the race. A task that finishes after the race cancels its
/// generation.
class HedgeRace {
public:
  HedgeRace(const StreamHooks &Hooks, const StreamSettings &Settings);

  /// Starts another attempt.
  void launch(const StreamTarget &Target, const GenerationRequest &Generation,
              TimePoint Deadline);

  /// Blocks the calling task until an attempt has its first chunk, all attempts
  /// have failed, or \p Deadline passes. \returns whether the race is decided.
  bool wait(TimePoint Deadline);

  /// Ends the race and cancels the losing attempts. \returns the first attempt
  /// with a chunk, or else the first failure, or else TargetError::TimedOut.
  HedgeResult finish();

private:
  struct State {
    std::deque<HedgeResult> Completed;
    bool IsFinished = false;
    Event Changed;
  };

  bool isDecided() const;

  Runtime Tasks;
  EngineHooks Engine;
  StreamSettings Settings;
  std::shared_ptr<State> Shared;
  std::vector<StreamTarget> Launched;
};

} // namespace bergamothook::detail

#endif
