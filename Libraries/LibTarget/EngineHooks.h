/// \file
/// The interface to an inference engine. Each adapter implements the hooks for
/// one wire format.

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

/// The endpoint of a target. The address is a numeric IP address.
struct TargetAddress {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const TargetAddress &) const = default;
};

/// A request for a generation, as sent to an engine.
struct GenerationRequest {
  RequestId Request;
  AttemptNumber Attempt;
  std::string Model;
  /// The prompt as the text that the engine tokenizes.
  std::string Prompt;
  /// The maximum number of generated tokens, over all attempts that resume the
  /// same stream.
  std::uint32_t MaxTokens = 0;
  /// Requests with a larger value run first.
  std::int32_t Priority = 0;
  /// The number of tokens already delivered to the caller: a resumed stream
  /// starts with the next one.
  std::uint32_t ResumeAfterTokens = 0;
  /// Requires the engine to know the stream already: it fails with
  /// TargetError::UnknownStream instead of starting a new generation.
  bool MustResume = false;
};

/// Why an engine finished a stream.
enum class FinishReason { Stop, Length, Cancelled };

/// The token counts that an engine reports for a whole stream.
struct Usage {
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedPromptTokens = 0;
  std::uint32_t GeneratedTokens = 0;
};

/// A chunk of an answer. It carries its request, its attempt and its position
/// in the answer, so that late and duplicate chunks can be detected.
struct StreamChunk {
  RequestId Request;
  AttemptNumber Attempt;
  /// The number of tokens of the answer before this chunk.
  std::uint32_t FirstToken = 0;
  std::uint32_t Tokens = 0;
  std::string Text;
  /// Set on the last chunk only.
  bool IsLast = false;
  FinishReason Reason = FinishReason::Stop;
  Usage Counted;
};

/// An open stream from one engine. Destroying it closes the connection but does
/// not cancel the generation.
struct EngineStream {
  /// Waits for the next chunk. Fails with TargetError::TimedOut if none arrives
  /// before \p Deadline.
  std::function<Result<StreamChunk>(TimePoint Deadline)> Next;
};

/// The state of a stream, as its engine reports it over a new connection.
struct StreamStatus {
  bool IsRunning = false;
  Usage Counted;
};

/// The load report of an engine.
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

/// Calls to engines. Each blocks the calling task until its deadline at the
/// latest.
struct EngineHooks {
  /// Starts or resumes a stream. TargetError::ConnectFailed means that no byte
  /// of the request was sent.
  std::function<Result<EngineStream>(
      const TargetAddress &, const GenerationRequest &, TimePoint Deadline)>
      Open;
  /// Cancels a generation. \returns its final token counts.
  std::function<Result<StreamStatus>(const TargetAddress &, RequestId,
                                     TimePoint Deadline)>
      Cancel;
  /// Reads the state of a stream without changing it.
  std::function<Result<StreamStatus>(const TargetAddress &, RequestId,
                                     TimePoint Deadline)>
      Probe;
  /// Reads the engine's load report.
  std::function<Result<EngineLoad>(const TargetAddress &, TimePoint Deadline)>
      ReadLoad;
};

} // namespace bergamothook

#endif
