/// \file
/// A simulated model engine.

#ifndef BERGAMOTHOOK_LIBREPLAY_FAKEENGINE_H
#define BERGAMOTHOOK_LIBREPLAY_FAKEENGINE_H

#include "LibReplay/FakeTarget.h"
#include "LibTarget/EngineHooks.h"

#include <deque>
#include <set>

namespace bergamothook {

/// Generates for each prompt a text that depends on the prompt only, at a
/// steady speed, and can go on from any token.
class FakeEngine : public FakeTarget {
public:
  FakeEngine(TargetId Id, Runtime Base, StepHook Reach);

  Result<EngineStream> open(HostGate &Gate, const GenerationRequest &Order,
                            TimePoint Deadline);
  Result<StreamStatus> cancel(HostGate &Gate, RequestId Request);
  Result<StreamStatus> probe(HostGate &Gate, RequestId Request);

  /// Sends the pieces that follow late, twice and out of their order.
  void scramble() { this->IsScrambling = true; }

  /// Makes prompts that start with this word crash the engine.
  static constexpr const char *PoisonWord = "poison";

private:
  struct Generation {
    std::uint32_t Tokens = 0;
    std::uint32_t PromptTokens = 0;
    TimePoint FirstTokenAt;
    std::uint32_t ResumedFrom = 0;
    std::optional<TimePoint> CancelledAt;
  };

  /// An open stream. \see FakeTarget::Connection
  struct Line {
    Connection Link;
    GenerationRequest Order;
    std::uint32_t Next = 0;
    bool HasSentFirst = false;
    std::deque<StreamChunk> Scrambled;
  };

  Result<StreamChunk> next(HostGate &Gate, Line &Open, TimePoint Deadline);
  Result<void> waitForPiece(HostGate &Gate, Line &Open, TimePoint Deadline);
  StreamChunk takePiece(Line &Open);
  void scramblePiece(Line &Open, const StreamChunk &Piece);
  Generation &start(const GenerationRequest &Order);
  Usage count(const Generation &Known) const;
  Result<StreamStatus> statusOf(HostGate &Gate, RequestId Request);

  bool IsScrambling = false;
  std::map<RequestId, Generation> Generations;
  std::deque<Line> Lines;
};

/// The text of the tokens from \p First up to \p End of the answer to
/// \p Prompt.
std::string textOfTokens(const std::string &Prompt, std::uint32_t First,
                         std::uint32_t End);

} // namespace bergamothook

#endif
