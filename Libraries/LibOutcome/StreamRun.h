/// \file
/// The state and the steps of one runStream() call.

#ifndef BERGAMOTHOOK_LIBOUTCOME_STREAMRUN_H
#define BERGAMOTHOOK_LIBOUTCOME_STREAMRUN_H

#include "LibOutcome/ChunkSequence.h"
#include "LibOutcome/StreamTask.h"

#include <optional>

namespace bergamothook::detail {

/// One request on its way through its attempts. Lives on the stack of the task
/// that serves the request.
class StreamRun {
public:
  StreamRun(const StreamRequest &Request, const StreamHooks &Hooks,
            const StreamSettings &Settings);

  StreamOutcome run();

private:
  void runAttempts();
  void runAttempt();
  std::optional<StreamTarget> takeTarget(TimePoint Now);
  Result<EngineStream> open(const GenerationRequest &Order);
  Result<EngineStream> openHedged(const GenerationRequest &Order);
  std::optional<StreamTarget> takeHedgeTarget();
  Result<void> readStream(const EngineStream &Stream);
  void deliver();
  void handleFailure(std::error_code Failure);
  void handleLostStream(std::error_code Failure);
  void resumeHere();
  void leaveTarget(std::error_code Failure);
  void planRetry();
  void finish(Outcome Verdict, std::error_code Reason);
  void finishIncomplete(std::error_code Reason);
  void cancelAndCount();
  void cancelInBackground();
  void countUsage(const Usage &Counted);
  void bill();
  TimePoint limit(Duration Span) const;
  TimePoint now() const { return this->Hooks.Tasks.Now(); }

  const StreamRequest &Request;
  const StreamHooks &Hooks;
  const StreamSettings &Settings;
  ChunkSequence Pieces;
  StreamOutcome Ending;
  std::vector<TargetId> Excluded;
  /// The target of the attempt under way.
  std::optional<StreamTarget> Current;
  /// Set when the next attempt goes on at the same target.
  bool IsResuming = false;
  bool HasEnded = false;
  /// Set once bytes of the request may have reached an engine.
  bool WasSent;
  std::uint32_t IdleResumes = 0;
  std::uint32_t Retries = 0;
  /// How long to wait before the next attempt.
  Duration Pause{};
  /// The tokens delivered when the attempt under way began.
  std::uint32_t TokensBefore = 0;
};

} // namespace bergamothook::detail

#endif
