/// \file
/// Carries one generated answer from engines to its caller: whole, in order,
/// without a repeat, and with a marked end, over as many attempts as it takes.

#ifndef BERGAMOTHOOK_LIBOUTCOME_STREAMTASK_H
#define BERGAMOTHOOK_LIBOUTCOME_STREAMTASK_H

#include "LibOutcome/Outcome.h"
#include "LibOutcome/OutcomeError.h"
#include "LibTarget/EngineHooks.h"
#include "LibTask/Runtime.h"

namespace bergamothook {

/// A request for a generated answer.
struct StreamRequest {
  RequestId Request;
  TeamId Team;
  /// The fingerprint of what the engine would run, the same under any key.
  Hash128 Content;
  std::string Model;
  std::string Prompt;
  /// The prompt's upper bound, billed where no engine counted.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::int32_t Priority = 0;
  TimePoint Deadline;
  /// What the caller already got of the answer, through this host or another.
  std::uint32_t DeliveredTokens = 0;
  /// Whether the template lets the request start anew after it was sent.
  bool MayRepeat = true;
  bool MayHedge = false;
};

/// The engine of one attempt.
struct StreamTarget {
  TargetId Id;
  TargetAddress Address;
};

/// How one request ended.
struct StreamOutcome {
  Outcome Verdict = Outcome::Unknown;
  std::error_code Reason;
  FinishReason Finish = FinishReason::Stop;
  /// What is billed, for the whole answer over all attempts.
  Usage Billed;
  /// What the caller got, with what it had before.
  std::uint32_t DeliveredTokens = 0;
  /// The number of times that an engine was asked to generate.
  std::uint32_t Attempts = 0;
  std::uint32_t Resumes = 0;
  /// Chunks that were late, repeated or of another attempt.
  std::uint32_t DroppedChunks = 0;
  Duration RetryAfter = Duration::zero();
};

struct StreamHooks {
  Runtime Tasks;
  EngineHooks Engine;
  /// Gives an engine that is not among those excluded.
  std::function<Result<StreamTarget>(const StreamRequest &,
                                     const std::vector<TargetId> &Excluded,
                                     TimePoint Now)>
      ChooseTarget;
  /// Holds the worst case of the request's cost. Its error is the answer.
  std::function<Result<void>(const StreamRequest &, TimePoint Now)> Reserve;
  /// Settles what was reserved. Called once for each successful Reserve.
  std::function<void(const StreamRequest &, const Usage &)> Settle;
  /// Takes the result of each attempt, for circuit breakers and load. A silent
  /// connection to an engine that answers probes is not reported.
  std::function<void(TargetId, std::error_code, TimePoint Now)> Report;
  /// Hands a piece to the caller. \returns false when the caller is gone.
  std::function<bool(const StreamChunk &)> Emit;
  /// Tells whether the retry budget allows one more attempt, and takes it.
  std::function<bool(TimePoint Now)> MayRetry;
  /// Tells whether the content may run; an error is the answer. Not set: yes.
  std::function<Result<void>(Hash128 Content, TimePoint Now)> Admit;
  /// Brackets each attempt, so that a crash finds what was in flight.
  std::function<void(Hash128 Content, TargetId)> Started;
  std::function<void(Hash128 Content, TargetId)> Ended;
  /// Tells that the engine went away while it ran the content.
  std::function<void(Hash128 Content, TargetId, TimePoint Now)> Crashed;
  /// Tells that the content ran to its end.
  std::function<void(Hash128 Content)> Cleared;
};

struct StreamSettings {
  Duration OpenTimeout = std::chrono::seconds(5);
  /// How long the first chunk may take before the engine is probed.
  Duration FirstChunkTimeout = std::chrono::seconds(10);
  /// How long the next chunk may take before the engine is probed.
  Duration ChunkTimeout = std::chrono::seconds(2);
  Duration ProbeTimeout = std::chrono::seconds(1);
  Duration CancelTimeout = std::chrono::seconds(1);
  /// How long a first chunk may take before a hedge is sent.
  Duration HedgeDelay = std::chrono::seconds(1);
  /// The pause before a further attempt, doubled with each.
  Duration FirstBackOff = std::chrono::milliseconds(20);
  Duration LongestBackOff = std::chrono::seconds(1);
  std::uint32_t MaxAttempts = 6;
  /// The most resumes in a row that bring no new token.
  std::uint32_t MaxIdleResumes = 3;
  Duration RetryAfter = std::chrono::seconds(1);
};

/// Runs \p Request to its end. Blocks the calling task.
StreamOutcome runStream(const StreamRequest &Request, const StreamHooks &Hooks,
                        const StreamSettings &Settings);

} // namespace bergamothook

#endif
