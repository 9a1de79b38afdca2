#include "LibOutcome/ChunkSequence.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

constexpr RequestId Wanted{1, 1};

StreamChunk chunkAt(std::uint32_t FirstToken, std::uint32_t Tokens,
                    std::uint32_t Attempt = 1, bool IsLast = false) {
  StreamChunk Chunk;
  Chunk.Request = Wanted;
  Chunk.Attempt = AttemptNumber{Attempt};
  Chunk.FirstToken = FirstToken;
  Chunk.Tokens = Tokens;
  Chunk.IsLast = IsLast;
  return Chunk;
}

} // namespace

TEST_CASE("chunks out of order are reordered, duplicates are dropped") {
  ChunkSequence Sequence(Wanted, 0);
  Sequence.startAttempt(AttemptNumber{1});
  CHECK(Sequence.add(chunkAt(2, 2)) == ChunkDisposition::Buffered);
  CHECK(Sequence.add(chunkAt(0, 2)) == ChunkDisposition::Ready);
  CHECK(Sequence.takeReady().size() == 2);
  CHECK(Sequence.add(chunkAt(0, 2)) == ChunkDisposition::Dropped);
  CHECK(Sequence.add(chunkAt(4, 0, 1, true)) == ChunkDisposition::Ready);
  CHECK(Sequence.isComplete());
}

TEST_CASE("a chunk of an earlier attempt or another request is dropped") {
  ChunkSequence Sequence(Wanted, 0);
  Sequence.startAttempt(AttemptNumber{2});
  CHECK(Sequence.add(chunkAt(0, 2, 1)) == ChunkDisposition::Dropped);
  StreamChunk OtherRequest = chunkAt(0, 2, 2);
  OtherRequest.Request = RequestId{9, 9};
  CHECK(Sequence.add(OtherRequest) == ChunkDisposition::Dropped);
  CHECK(Sequence.add(chunkAt(0, 2, 2)) == ChunkDisposition::Ready);
}

TEST_CASE("a chunk that overlaps delivered tokens is invalid") {
  ChunkSequence Sequence(Wanted, 3);
  Sequence.startAttempt(AttemptNumber{1});
  CHECK(Sequence.add(chunkAt(2, 2)) == ChunkDisposition::Invalid);
  CHECK(Sequence.deliveredTokens() == 3);
}

TEST_CASE("a repeated last chunk still marks the end") {
  ChunkSequence Sequence(Wanted, 4);
  Sequence.startAttempt(AttemptNumber{1});
  CHECK(Sequence.add(chunkAt(2, 2, 1, true)) == ChunkDisposition::Ready);
  CHECK(Sequence.isComplete());
  CHECK(Sequence.takeReady().front().Tokens == 0);
}
