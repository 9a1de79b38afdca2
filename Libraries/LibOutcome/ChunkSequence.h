/// \file
/// Puts the pieces of one answer in order, whatever attempt they come from.

#ifndef BERGAMOTHOOK_LIBOUTCOME_CHUNKSEQUENCE_H
#define BERGAMOTHOOK_LIBOUTCOME_CHUNKSEQUENCE_H

#include "LibTarget/EngineHooks.h"

#include <map>
#include <vector>

namespace bergamothook {

/// What became of one piece.
enum class ChunkFate {
  /// It, and perhaps pieces held before, can be handed to the caller.
  Ready,
  /// It came early, and is held until the pieces before it are there.
  Held,
  /// It is of another request or attempt, or was delivered already.
  Dropped,
  /// It does not fit the answer; the stream must be resumed.
  Broken,
};

/// The pieces of one answer up to now. Text is handed on without a gap and
/// without a repeat, also over resumed attempts.
class ChunkSequence {
public:
  ChunkSequence(RequestId Request, std::uint32_t DeliveredTokens);

  /// Starts the next attempt. Pieces of earlier attempts are dropped from now
  /// on, held ones too.
  void startAttempt(AttemptNumber Attempt);

  /// Takes a piece. ChunkFate::Ready makes takeReady() give at least one.
  ChunkFate take(StreamChunk Chunk);

  /// Gives the pieces that can be delivered, in order.
  std::vector<StreamChunk> takeReady();

  /// The number of tokens handed on, or ready to be.
  std::uint32_t deliveredTokens() const { return this->Delivered; }

  /// Tells whether the marked end was reached.
  bool isComplete() const { return this->HasEnded; }

private:
  bool accepts(const StreamChunk &Chunk) const;
  void moveHeld();
  void addReady(StreamChunk Chunk);

  RequestId Request;
  AttemptNumber Attempt;
  std::uint32_t Delivered;
  bool HasEnded = false;
  std::vector<StreamChunk> Ready;
  std::map<std::uint32_t, StreamChunk> Held;
};

} // namespace bergamothook

#endif
