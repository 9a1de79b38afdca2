/// \file
/// Reassembles the chunks of one answer in order, across attempts.

#ifndef BERGAMOTHOOK_LIBOUTCOME_CHUNKSEQUENCE_H
#define BERGAMOTHOOK_LIBOUTCOME_CHUNKSEQUENCE_H

#include "LibTarget/EngineHooks.h"

#include <map>
#include <vector>

namespace bergamothook {

/// How a chunk was handled.
enum class ChunkDisposition {
  /// The chunk, and possibly chunks buffered earlier, can be delivered.
  Ready,
  /// The chunk arrived out of order and is buffered until the preceding chunks
  /// arrive.
  Buffered,
  /// The chunk belongs to another request or attempt, or was delivered before.
  Dropped,
  /// The chunk overlaps delivered tokens, or too many chunks are buffered. The
  /// stream must be resumed.
  Invalid,
};

/// The reassembly buffer of one answer. It yields the text without gaps or
/// duplicates, also over resumed attempts.
class ChunkSequence {
public:
  ChunkSequence(RequestId Request, std::uint32_t DeliveredTokens);

  /// Starts the next attempt. Chunks of earlier attempts are dropped from now
  /// on, including buffered ones.
  void startAttempt(AttemptNumber Attempt);

  /// Adds a chunk. After ChunkDisposition::Ready, takeReady() returns at least
  /// one chunk.
  ChunkDisposition add(StreamChunk Chunk);

  /// \returns the chunks that can be delivered, in order, and removes them.
  std::vector<StreamChunk> takeReady();

  /// \returns the number of tokens delivered or ready for delivery.
  std::uint32_t deliveredTokens() const { return this->Delivered; }

  /// \returns whether the last chunk was reached.
  bool isComplete() const { return this->HasEnded; }

private:
  bool accepts(const StreamChunk &Chunk) const;
  void promoteBuffered();
  void addReady(StreamChunk Chunk);

  RequestId Request;
  AttemptNumber Attempt;
  std::uint32_t Delivered;
  bool HasEnded = false;
  std::vector<StreamChunk> Ready;
  std::map<std::uint32_t, StreamChunk> Buffered;
};

} // namespace bergamothook

#endif
