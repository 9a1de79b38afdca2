/// \file
/// Delivers one generated answer from engines to its caller: complete, in
/// order, without duplicates and with an end marker, over as many attempts as
/// needed.

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
  /// The hash of what the engine would run, independent of the idempotency key.
  Hash128 Content;
  std::string Model;
  std::string Prompt;
  /// An upper bound of the prompt tokens, billed if no engine reported a count.
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  std::int32_t Priority = 0;
  TimePoint Deadline;
  /// The number of tokens that the caller has received already, through this
  /// host or another.
  std::uint32_t DeliveredTokens = 0;
  /// Whether the template allows the request to be started again after it was
  /// sent.
  bool MayRepeat = true;
  bool MayHedge = false;
};

/// The engine of one attempt.
struct StreamTarget {
  TargetId Id;
  TargetAddress Address;
};

/// The result of one request.
struct StreamOutcome {
  Outcome Verdict = Outcome::Unknown;
  std::error_code Reason;
  FinishReason Finish = FinishReason::Stop;
  /// The token counts to bill, for the whole answer over all attempts.
  Usage Billed;
  /// The number of tokens that the caller received, including earlier ones.
  std::uint32_t DeliveredTokens = 0;
  /// The number of times that an engine was asked to generate.
  std::uint32_t Attempts = 0;
  std::uint32_t Resumes = 0;
  /// The number of chunks that were late, duplicate or of another attempt.
  std::uint32_t DroppedChunks = 0;
  Duration RetryAfter = Duration::zero();
};

struct StreamHooks {
  Runtime Tasks;
  EngineHooks Engine;
  /// Chooses an engine that is not excluded.
  std::function<Result<StreamTarget>(const StreamRequest &,
                                     const std::vector<TargetId> &Excluded,
                                     TimePoint Now)>
      ChooseTarget;
  /// Reserves the worst-case cost of the request. An error is returned to the
  /// caller.
  std::function<Result<void>(const StreamRequest &, TimePoint Now)> Reserve;
  /// Settles the reservation. Called once for each successful Reserve.
  std::function<void(const StreamRequest &, const Usage &)> Settle;
  /// Reports the result of each attempt to the circuit breakers and the load
  /// tracking. A timeout of a connection to an engine that answers probes is
  /// not reported.
  std::function<void(TargetId, std::error_code, TimePoint Now)> Report;
  /// Sends a chunk to the caller. \returns false if the caller has
  /// disconnected.
  std::function<bool(const StreamChunk &)> Emit;
  /// Takes one retry from the retry budget. \returns false if it is exhausted.
  std::function<bool(TimePoint Now)> MayRetry;
  /// Checks whether the content may run. An error is returned to the caller. If
  /// not set, every content may run.
  std::function<Result<void>(Hash128 Content, TimePoint Now)> Admit;
  /// Called before and after each attempt, so that a crash can be related to
  /// the contents that were in flight.
  std::function<void(Hash128 Content, TargetId)> Started;
  std::function<void(Hash128 Content, TargetId)> Ended;
  /// Called when the engine became unreachable while it ran the content.
  std::function<void(Hash128 Content, TargetId, TimePoint Now)> Crashed;
  /// Called when the content ran to its end.
  std::function<void(Hash128 Content)> Cleared;
};

struct StreamSettings {
  Duration OpenTimeout = std::chrono::seconds(5);
  /// How long to wait for the first chunk before the engine is probed.
  Duration FirstChunkTimeout = std::chrono::seconds(10);
  /// How long to wait for the next chunk before the engine is probed.
  Duration ChunkTimeout = std::chrono::seconds(2);
  Duration ProbeTimeout = std::chrono::seconds(1);
  Duration CancelTimeout = std::chrono::seconds(1);
  /// How long to wait for the first chunk before a hedge request is sent.
  Duration HedgeDelay = std::chrono::seconds(1);
  /// The delay before the next attempt; it doubles with each attempt.
  Duration FirstBackOff = std::chrono::milliseconds(20);
  Duration LongestBackOff = std::chrono::seconds(1);
  std::uint32_t MaxAttempts = 6;
  /// The maximum number of consecutive resumes without a new token.
  std::uint32_t MaxStalledResumes = 3;
  Duration RetryAfter = std::chrono::seconds(1);
};

/// Runs \p Request to its end. Blocks the calling task.
StreamOutcome runStream(const StreamRequest &Request, const StreamHooks &Hooks,
                        const StreamSettings &Settings);

} // namespace bergamothook

#endif
