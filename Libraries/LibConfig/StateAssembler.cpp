#include "LibConfig/StateAssembler.h"

namespace bergamothook {

namespace {
constexpr std::size_t ChunkBytes = 64 * 1024;
constexpr std::size_t MaxStateBytes = 64 << 20;
constexpr Duration PatienceForNextPart = std::chrono::seconds(2);
} // namespace

bool StateAssembler::isBusy(TimePoint Now) const {
  return this->Taken > 0 && Now - this->LastPart < PatienceForNextPart;
}

std::optional<std::string>
StateAssembler::addChunk(HostId Sender, const ConfigStateChunk &Part,
                         TimePoint Now) {
  if (Part.Index == 0 && !this->isBusy(Now)) {
    this->Sender = Sender;
    this->Next = Part.Next;
    this->Count = Part.Count;
    this->Taken = 0;
    this->Bytes.clear();
  }
  bool IsNext = Sender == this->Sender && Part.Next == this->Next &&
                Part.Count == this->Count && Part.Index == this->Taken;
  if (!IsNext)
    return std::nullopt;
  if (this->Bytes.size() + Part.Bytes.size() > MaxStateBytes) {
    this->Taken = 0;
    this->Bytes.clear();
    return std::nullopt;
  }
  this->Bytes += Part.Bytes;
  this->LastPart = Now;
  ++this->Taken;
  if (this->Taken < this->Count)
    return std::nullopt;
  this->Taken = 0;
  this->Count = 0;
  return std::exchange(this->Bytes, {});
}

std::vector<ConfigStateChunk> cutState(Offset Next, std::string_view State) {
  std::vector<ConfigStateChunk> Parts;
  auto Count =
      static_cast<std::uint32_t>((State.size() + ChunkBytes - 1) / ChunkBytes);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Parts.push_back(
        {Next, Index, Count,
         std::string(State.substr(Index * ChunkBytes, ChunkBytes))});
  return Parts;
}

} // namespace bergamothook
