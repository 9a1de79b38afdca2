/// \file
/// A model engine as the rest of the system sees it. An adapter fills the hooks
/// in for one wire format.

#ifndef BERGAMOTHOOK_LIBTARGET_ENGINEHOOKS_H
#define BERGAMOTHOOK_LIBTARGET_ENGINEHOOKS_H

#include "LibBase/Ids.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibTarget/TargetError.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamothook {

/// Where a target listens. The addresses are IP numbers.
struct TargetAddress {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const TargetAddress &) const = default;
};

/// One generation that an engine is asked for.
struct GenerationRequest {
  RequestId Request;
  AttemptNumber Attempt;
  std::string Model;
  /// The prompt, as the text that the engine counts tokens of.
  std::string Prompt;
  /// The most tokens that may be generated, over all attempts that resume the
  /// same stream.
  std::uint32_t MaxTokens = 0;
  /// Larger numbers run first.
  std::int32_t Priority = 0;
  /// The number of tokens that the caller has already got: a resumed stream
  /// starts with the next one.
  std::uint32_t ResumeAfterTokens = 0;
  /// Whether the engine must know the stream already, and answers
  /// TargetError::UnknownStream instead of generating anew.
  bool MustResume = false;
};

/// Why an engine ended a stream.
enum class FinishReason { Stop, Length, Cancelled };

/// What an engine counted for a whole stream.
struct Usage {
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedPromptTokens = 0;
  std::uint32_t GeneratedTokens = 0;
};

/// A piece of an answer. It is bound to one request and one attempt, and names
/// its place in the answer, so that a late or repeated piece is recognised.
struct StreamChunk {
  RequestId Request;
  AttemptNumber Attempt;
  /// The number of tokens of the answer before this piece.
  std::uint32_t FirstToken = 0;
  std::uint32_t Tokens = 0;
  std::string Text;
  /// Set on the last piece only.
  bool IsLast = false;
  FinishReason Reason = FinishReason::Stop;
  Usage Counted;
};

/// An open stream of one engine. Destroying it closes the connection and does
/// not cancel the generation.
struct EngineStream {
  /// Waits for the next piece until \p Deadline; TargetError::TimedOut when
  /// none came.
  std::function<Result<StreamChunk>(TimePoint Deadline)> Next;
};

/// The state of a stream as its engine tells it over a new connection.
struct StreamStatus {
  bool IsRunning = false;
  Usage Counted;
};

/// What an engine reports of itself.
struct EngineLoad {
  std::string Engine;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint64_t WaitingPrefillTokens = 0;
  double DecodeTokensPerSecond = 0;
  double PrefillTokensPerSecond = 0;
  std::uint32_t BatchLimit = 0;
  std::vector<std::string> LoadedModels;
  bool IsLeaving = false;
};

/// Calls of engines. Each blocks the calling task, at most until its deadline.
struct EngineHooks {
  /// Starts or resumes a stream. TargetError::ConnectFailed means that no byte
  /// was sent.
  std::function<Result<EngineStream>(
      const TargetAddress &, const GenerationRequest &, TimePoint Deadline)>
      Open;
  /// Ends a generation and tells what was counted.
  std::function<Result<StreamStatus>(const TargetAddress &, RequestId,
                                     TimePoint Deadline)>
      Cancel;
  /// Asks about a stream without changing it.
  std::function<Result<StreamStatus>(const TargetAddress &, RequestId,
                                     TimePoint Deadline)>
      Probe;
  /// Reads the engine's load report.
  std::function<Result<EngineLoad>(const TargetAddress &, TimePoint Deadline)>
      ReadLoad;
};

} // namespace bergamothook

#endif
