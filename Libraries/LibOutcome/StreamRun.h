/// \file
/// The state and the steps of one runStream() call.

#ifndef BERGAMOTHOOK_LIBOUTCOME_STREAMRUN_H
#define BERGAMOTHOOK_LIBOUTCOME_STREAMRUN_H

#include "LibOutcome/ChunkSequence.h"
#include "LibOutcome/StreamTask.h"

#include <optional>

namespace bergamothook::detail {

/// Runs one request over its attempts. Lives on the stack of the task that
/// serves the request.
class StreamRun {
public:
  StreamRun(const StreamRequest &Request, const StreamHooks &Hooks,
            const StreamSettings &Settings);

  StreamOutcome run();

private:
  void runAttempts();
  void runAttempt();
  std::optional<StreamTarget> selectTarget(TimePoint Now);
  Result<EngineStream> open(const GenerationRequest &Generation);
  Result<EngineStream> openHedged(const GenerationRequest &Generation);
  std::optional<StreamTarget> selectHedgeTarget();
  Result<void> readStream(const EngineStream &Stream);
  void deliver();
  void handleFailure(std::error_code Failure);
  void recoverStream(std::error_code Failure);
  void resumeOnSameTarget();
  void abandonTarget(std::error_code Failure);
  void scheduleRetry();
  void finish(Outcome Verdict, std::error_code Reason);
  void finishIncomplete(std::error_code Reason);
  void cancelAndCount();
  void cancelInBackground();
  void countUsage(const Usage &Counted);
  void bill();
  TimePoint deadlineAfter(Duration Span) const;
  TimePoint now() const { return this->Hooks.Tasks.Now(); }

  const StreamRequest &Request;
  const StreamHooks &Hooks;
  const StreamSettings &Settings;
  ChunkSequence Chunks;
  StreamOutcome Ending;
  std::vector<TargetId> Excluded;
  /// The target of the current attempt.
  std::optional<StreamTarget> Current;
  /// Set if the next attempt resumes at the same target.
  bool IsResuming = false;
  bool HasEnded = false;
  /// Set once bytes of the request may have reached an engine.
  bool WasSent;
  std::uint32_t StalledResumes = 0;
  std::uint32_t Retries = 0;
  /// The delay before the next attempt.
  Duration BackOff{};
  /// The number of tokens delivered when the current attempt began.
  std::uint32_t TokensAtStart = 0;
};

} // namespace bergamothook::detail

#endif
