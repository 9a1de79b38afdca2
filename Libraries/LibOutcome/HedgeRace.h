/// \file
/// Two attempts at the first chunk of one answer, of which the faster goes on.

#ifndef BERGAMOTHOOK_LIBOUTCOME_HEDGERACE_H
#define BERGAMOTHOOK_LIBOUTCOME_HEDGERACE_H

#include "LibOutcome/StreamTask.h"

#include <deque>
#include <memory>

namespace bergamothook::detail {

/// What one attempt of a race came to.
struct HedgeResult {
  StreamTarget Target;
  AttemptNumber Attempt;
  /// Why there is no stream; empty for one that has a first chunk.
  std::error_code Failure;
  EngineStream Stream;
};

/// The attempts of one race. Each runs in a task of its own, which may outlive
/// the race; a task that comes too late cancels its generation.
class HedgeRace {
public:
  HedgeRace(const StreamHooks &Hooks, const StreamSettings &Settings);

  /// Starts one more attempt.
  void launch(const StreamTarget &Target, const GenerationRequest &Order,
              TimePoint Deadline);

  /// Blocks the calling task until an attempt has its first chunk, all have
  /// failed, or \p Deadline. \returns whether the race can end.
  bool wait(TimePoint Deadline);

  /// Ends the race. \returns the first attempt with a chunk, or else the first
  /// failure, or TargetError::TimedOut. The others are cancelled.
  HedgeResult finish();

private:
  struct State {
    std::deque<HedgeResult> Arrived;
    bool IsOver = false;
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
