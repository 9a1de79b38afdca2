#include "LibOutcome/ChunkSequence.h"

#include <utility>

namespace bergamothook {

namespace {
constexpr std::size_t MaxBufferedChunks = 64;
} // namespace

ChunkSequence::ChunkSequence(RequestId Request, std::uint32_t DeliveredTokens)
    : Request(Request), Delivered(DeliveredTokens) {}

void ChunkSequence::startAttempt(AttemptNumber Attempt) {
  this->Attempt = Attempt;
  this->Buffered.clear();
}

bool ChunkSequence::accepts(const StreamChunk &Chunk) const {
  if (this->HasEnded || Chunk.Request != this->Request ||
      Chunk.Attempt != this->Attempt)
    return false;
  // The last chunk may carry no tokens.
  bool IsOld = Chunk.FirstToken + Chunk.Tokens <= this->Delivered;
  bool IsEndMark =
      Chunk.IsLast && Chunk.Tokens == 0 && Chunk.FirstToken >= this->Delivered;
  return !IsOld || IsEndMark;
}

ChunkDisposition ChunkSequence::add(StreamChunk Chunk) {
  if (!this->accepts(Chunk)) {
    // An engine that is asked to resume at the very end repeats its last chunk.
    // Only its end marker is new.
    bool IsRepeatedEnd = Chunk.IsLast && Chunk.Request == this->Request &&
                         Chunk.Attempt == this->Attempt && !this->HasEnded &&
                         Chunk.FirstToken + Chunk.Tokens == this->Delivered;
    if (!IsRepeatedEnd)
      return ChunkDisposition::Dropped;
    Chunk.FirstToken = this->Delivered;
    Chunk.Tokens = 0;
    Chunk.Text.clear();
  }
  if (Chunk.FirstToken < this->Delivered)
    return ChunkDisposition::Invalid;
  if (Chunk.FirstToken > this->Delivered) {
    if (this->Buffered.size() >= MaxBufferedChunks)
      return ChunkDisposition::Invalid;
    this->Buffered.emplace(Chunk.FirstToken, std::move(Chunk));
    return ChunkDisposition::Buffered;
  }
  this->addReady(std::move(Chunk));
  this->promoteBuffered();
  return ChunkDisposition::Ready;
}

void ChunkSequence::addReady(StreamChunk Chunk) {
  this->Delivered += Chunk.Tokens;
  this->HasEnded = Chunk.IsLast;
  this->Ready.push_back(std::move(Chunk));
}

void ChunkSequence::promoteBuffered() {
  while (!this->HasEnded && !this->Buffered.empty() &&
         this->Buffered.begin()->first <= this->Delivered) {
    StreamChunk Next = std::move(this->Buffered.begin()->second);
    this->Buffered.erase(this->Buffered.begin());
    if (Next.FirstToken == this->Delivered)
      this->addReady(std::move(Next));
  }
}

std::vector<StreamChunk> ChunkSequence::takeReady() {
  return std::exchange(this->Ready, {});
}

} // namespace bergamothook
