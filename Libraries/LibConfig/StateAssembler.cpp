#include "LibConfig/StateAssembler.h"

namespace bergamothook {

namespace {
constexpr std::size_t ChunkBytes = 64 * 1024;
constexpr std::size_t MaxStateBytes = 64 << 20;
constexpr Duration NextChunkTimeout = std::chrono::seconds(2);
} // namespace

bool StateAssembler::isBusy(TimePoint Now) const {
  return this->ReceivedChunks > 0 && Now - this->LastChunkAt < NextChunkTimeout;
}

std::optional<std::string>
StateAssembler::addChunk(HostId Sender, const ConfigStateChunk &Chunk,
                         TimePoint Now) {
  if (Chunk.Index == 0 && !this->isBusy(Now)) {
    this->Sender = Sender;
    this->Next = Chunk.Next;
    this->Count = Chunk.Count;
    this->ReceivedChunks = 0;
    this->Bytes.clear();
  }
  bool IsNext = Sender == this->Sender && Chunk.Next == this->Next &&
                Chunk.Count == this->Count &&
                Chunk.Index == this->ReceivedChunks;
  if (!IsNext)
    return std::nullopt;
  if (this->Bytes.size() + Chunk.Bytes.size() > MaxStateBytes) {
    this->ReceivedChunks = 0;
    this->Bytes.clear();
    return std::nullopt;
  }
  this->Bytes += Chunk.Bytes;
  this->LastChunkAt = Now;
  ++this->ReceivedChunks;
  if (this->ReceivedChunks < this->Count)
    return std::nullopt;
  this->ReceivedChunks = 0;
  this->Count = 0;
  return std::exchange(this->Bytes, {});
}

std::vector<ConfigStateChunk> splitState(Offset Next, std::string_view State) {
  std::vector<ConfigStateChunk> Chunks;
  auto Count =
      static_cast<std::uint32_t>((State.size() + ChunkBytes - 1) / ChunkBytes);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Chunks.push_back(
        {Next, Index, Count,
         std::string(State.substr(Index * ChunkBytes, ChunkBytes))});
  return Chunks;
}

} // namespace bergamothook
