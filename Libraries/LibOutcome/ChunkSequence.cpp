#include "LibOutcome/ChunkSequence.h"

#include <utility>

namespace bergamothook {

namespace {
constexpr std::size_t MaxHeldChunks = 64;
} // namespace

ChunkSequence::ChunkSequence(RequestId Request, std::uint32_t DeliveredTokens)
    : Request(Request), Delivered(DeliveredTokens) {}

void ChunkSequence::startAttempt(AttemptNumber Attempt) {
  this->Attempt = Attempt;
  this->Held.clear();
}

bool ChunkSequence::accepts(const StreamChunk &Chunk) const {
  if (this->HasEnded || Chunk.Request != this->Request ||
      Chunk.Attempt != this->Attempt)
    return false;
  // The last piece may carry no token of its own.
  bool IsOld = Chunk.FirstToken + Chunk.Tokens <= this->Delivered;
  bool IsEndMark =
      Chunk.IsLast && Chunk.Tokens == 0 && Chunk.FirstToken >= this->Delivered;
  return !IsOld || IsEndMark;
}

ChunkFate ChunkSequence::take(StreamChunk Chunk) {
  if (!this->accepts(Chunk)) {
    // An engine that was asked to resume at the very end repeats its last
    // piece; only its end mark is new.
    bool IsRepeatedEnd = Chunk.IsLast && Chunk.Request == this->Request &&
                         Chunk.Attempt == this->Attempt && !this->HasEnded &&
                         Chunk.FirstToken + Chunk.Tokens == this->Delivered;
    if (!IsRepeatedEnd)
      return ChunkFate::Dropped;
    Chunk.FirstToken = this->Delivered;
    Chunk.Tokens = 0;
    Chunk.Text.clear();
  }
  if (Chunk.FirstToken < this->Delivered)
    return ChunkFate::Broken;
  if (Chunk.FirstToken > this->Delivered) {
    if (this->Held.size() >= MaxHeldChunks)
      return ChunkFate::Broken;
    this->Held.emplace(Chunk.FirstToken, std::move(Chunk));
    return ChunkFate::Held;
  }
  this->addReady(std::move(Chunk));
  this->moveHeld();
  return ChunkFate::Ready;
}

void ChunkSequence::addReady(StreamChunk Chunk) {
  this->Delivered += Chunk.Tokens;
  this->HasEnded = Chunk.IsLast;
  this->Ready.push_back(std::move(Chunk));
}

void ChunkSequence::moveHeld() {
  while (!this->HasEnded && !this->Held.empty() &&
         this->Held.begin()->first <= this->Delivered) {
    StreamChunk Next = std::move(this->Held.begin()->second);
    this->Held.erase(this->Held.begin());
    if (Next.FirstToken == this->Delivered)
      this->addReady(std::move(Next));
  }
}

std::vector<StreamChunk> ChunkSequence::takeReady() {
  return std::exchange(this->Ready, {});
}

} // namespace bergamothook
