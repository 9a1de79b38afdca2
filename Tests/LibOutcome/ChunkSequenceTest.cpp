#include "LibOutcome/ChunkSequence.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

constexpr RequestId Wanted{1, 1};

StreamChunk pieceAt(std::uint32_t FirstToken, std::uint32_t Tokens,
                    std::uint32_t Attempt = 1, bool IsLast = false) {
  StreamChunk Piece;
  Piece.Request = Wanted;
  Piece.Attempt = AttemptNumber{Attempt};
  Piece.FirstToken = FirstToken;
  Piece.Tokens = Tokens;
  Piece.IsLast = IsLast;
  return Piece;
}

} // namespace

TEST_CASE("pieces out of order are put in order, repeats are dropped") {
  ChunkSequence Answer(Wanted, 0);
  Answer.startAttempt(AttemptNumber{1});
  CHECK(Answer.take(pieceAt(2, 2)) == ChunkFate::Held);
  CHECK(Answer.take(pieceAt(0, 2)) == ChunkFate::Ready);
  CHECK(Answer.takeReady().size() == 2);
  CHECK(Answer.take(pieceAt(0, 2)) == ChunkFate::Dropped);
  CHECK(Answer.take(pieceAt(4, 0, 1, true)) == ChunkFate::Ready);
  CHECK(Answer.isComplete());
}

TEST_CASE("a piece of an earlier attempt or another request is dropped") {
  ChunkSequence Answer(Wanted, 0);
  Answer.startAttempt(AttemptNumber{2});
  CHECK(Answer.take(pieceAt(0, 2, 1)) == ChunkFate::Dropped);
  StreamChunk Foreign = pieceAt(0, 2, 2);
  Foreign.Request = RequestId{9, 9};
  CHECK(Answer.take(Foreign) == ChunkFate::Dropped);
  CHECK(Answer.take(pieceAt(0, 2, 2)) == ChunkFate::Ready);
}

TEST_CASE("a piece that overlaps what was delivered breaks the attempt") {
  ChunkSequence Answer(Wanted, 3);
  Answer.startAttempt(AttemptNumber{1});
  CHECK(Answer.take(pieceAt(2, 2)) == ChunkFate::Broken);
  CHECK(Answer.deliveredTokens() == 3);
}

TEST_CASE("a repeated last piece still marks the end") {
  ChunkSequence Answer(Wanted, 4);
  Answer.startAttempt(AttemptNumber{1});
  CHECK(Answer.take(pieceAt(2, 2, 1, true)) == ChunkFate::Ready);
  CHECK(Answer.isComplete());
  CHECK(Answer.takeReady().front().Tokens == 0);
}
