#include "LibConfig/ConfigSnapshotLog.h"

#include "LibConfig/ConfigMessages.h"
#include "LibConfig/StateAssembler.h"
#include "LibPeer/MessageCodec.h"

namespace bergamothook {

namespace {

constexpr std::uint16_t StateChunkKind = 1;
constexpr std::size_t ChunksPerAppend = 6;
constexpr std::size_t EntriesPerRead = 16;
/// An offset beyond the end of any stream; a read there returns only the
/// retained range.
constexpr Offset BeyondEnd{1ULL << 62};

/// The chunks of one state from one writer.
struct PartialState {
  std::uint32_t Count = 0;
  std::map<std::uint32_t, std::string> Chunks;

  bool isComplete() const {
    return this->Count > 0 && this->Chunks.size() == this->Count;
  }
};

/// The states read so far, by covered offset and writer.
using PartialStates = std::map<std::pair<Offset, Incarnation>, PartialState>;

void addChunks(PartialStates &States, const LogEntry &Entry) {
  auto Records = decodeBatch(Entry.Payload);
  if (!Records)
    return;
  for (const auto &Record : Records.value()) {
    auto Chunk = decodeMessage<ConfigStateChunk>(Record.Body);
    if (Record.Kind != StateChunkKind || !Chunk)
      continue;
    auto &State = States[{Chunk.value().Next, Record.Writer}];
    State.Count = Chunk.value().Count;
    State.Chunks[Chunk.value().Index] = std::move(Chunk.value().Bytes);
  }
}

} // namespace

Result<void> ConfigSnapshotLog::save(const ConfigReplica &Replica,
                                     Duration AppendTimeout) {
  Offset Next = Replica.position().Next;
  std::vector<StreamRecord> Batch;
  auto Chunks = splitState(Next, Replica.encodeState());
  for (const auto &Chunk : Chunks) {
    StreamRecord Record;
    Record.Writer = this->Self;
    Record.Kind = StateChunkKind;
    Record.Body = encodeMessage(Chunk);
    Record.Id = hash128(Record.Body, this->Self.Run);
    Batch.push_back(std::move(Record));
    if (Batch.size() < ChunksPerAppend && Chunk.Index + 1 < Chunk.Count)
      continue;
    BOOST_OUTCOME_TRYV(this->Log.Append(ConfigSnapshotStream,
                                        encodeBatch(Batch),
                                        this->Tasks.Now() + AppendTimeout));
    Batch.clear();
  }
  return success();
}

Result<bool> ConfigSnapshotLog::load(ConfigReplica &Replica) {
  BOOST_OUTCOME_TRY(Range, this->Log.Read(ConfigSnapshotStream, BeyondEnd, 1,
                                          Duration::zero()));
  PartialStates States;
  Offset Position = Range.FirstRetained;
  while (Position < Range.Next) {
    BOOST_OUTCOME_TRY(Page, this->Log.Read(ConfigSnapshotStream, Position,
                                           EntriesPerRead, Duration::zero()));
    if (Page.Entries.empty())
      break;
    for (const auto &Entry : Page.Entries)
      addChunks(States, Entry);
    Position = Offset{Page.Entries.back().At.Value + 1};
  }
  for (auto State = States.rbegin(); State != States.rend(); ++State) {
    if (!State->second.isComplete())
      continue;
    std::string Bytes;
    for (const auto &[Index, Chunk] : State->second.Chunks)
      Bytes += Chunk;
    auto Restored = Replica.restore(Bytes);
    if (Restored)
      return Restored.value();
  }
  return false;
}

} // namespace bergamothook
