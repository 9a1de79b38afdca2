/// \file
/// A simulated inference engine.

#ifndef BERGAMOTHOOK_LIBREPLAY_FAKEENGINE_H
#define BERGAMOTHOOK_LIBREPLAY_FAKEENGINE_H

#include "LibReplay/FakeTarget.h"
#include "LibTarget/EngineHooks.h"

#include <deque>
#include <set>

namespace bergamothook {

/// Generates a text that depends only on the prompt, at a constant rate, and
/// can resume from any token.
class FakeEngine : public FakeTarget {
public:
  FakeEngine(TargetId Id, Runtime Base, StepHook OnStep);

  Result<EngineStream> open(SimulatedProcess &Process,
                            const GenerationRequest &Generation,
                            TimePoint Deadline);
  Result<StreamStatus> cancel(SimulatedProcess &Process, RequestId Request);
  Result<StreamStatus> probe(SimulatedProcess &Process, RequestId Request);

  /// Duplicates and reorders all further chunks and adds stale ones.
  void reorderChunks() { this->ReordersChunks = true; }

  /// A prompt with this prefix crashes the engine.
  static constexpr const char *PoisonPrefix = "poison";

private:
  struct GenerationState {
    std::uint32_t Tokens = 0;
    std::uint32_t PromptTokens = 0;
    TimePoint FirstTokenAt;
    std::uint32_t ResumedFrom = 0;
    std::optional<TimePoint> CancelledAt;
  };

  /// The server side of an open stream. \see FakeTarget::Connection
  struct OpenStream {
    Connection Link;
    GenerationRequest Generation;
    std::uint32_t Next = 0;
    bool HasSentFirst = false;
    std::deque<StreamChunk> QueuedChunks;
  };

  Result<StreamChunk> next(SimulatedProcess &Process, OpenStream &Stream,
                           TimePoint Deadline);
  Result<void> waitForChunk(SimulatedProcess &Process, OpenStream &Stream,
                            TimePoint Deadline);
  StreamChunk takeChunk(OpenStream &Stream);
  void queueReordered(OpenStream &Stream, const StreamChunk &Chunk);
  GenerationState &start(const GenerationRequest &Generation);
  Usage countUsage(const GenerationState &State) const;
  Result<StreamStatus> statusOf(SimulatedProcess &Process, RequestId Request);

  bool ReordersChunks = false;
  std::map<RequestId, GenerationState> Generations;
  std::deque<OpenStream> OpenStreams;
};

/// The text of the tokens [\p First, \p End) of the response to \p Prompt.
std::string generatedText(const std::string &Prompt, std::uint32_t First,
                          std::uint32_t End);

} // namespace bergamothook

#endif
