#include "LibConfig/ConfigSnapshotLog.h"

#include "LibConfig/ConfigMessages.h"
#include "LibConfig/StateAssembler.h"
#include "LibPeer/MessageCodec.h"

namespace bergamothook {

namespace {

constexpr std::uint16_t StateChunkKind = 1;
constexpr std::size_t ChunksPerAppend = 6;
constexpr std::size_t EntriesPerRead = 16;
/// No stream gets this far, so that a read there only tells the range.
constexpr Offset FarAhead{1ULL << 62};

/// The parts of one state of one writer.
struct Collected {
  std::uint32_t Count = 0;
  std::map<std::uint32_t, std::string> Parts;

  bool isWhole() const {
    return this->Count > 0 && this->Parts.size() == this->Count;
  }
};

/// A state is told from others by what it covers and by who wrote it.
using Collection = std::map<std::pair<Offset, Incarnation>, Collected>;

void collect(Collection &States, const LogEntry &Entry) {
  auto Records = decodeBatch(Entry.Payload);
  if (!Records)
    return;
  for (const auto &Record : Records.value()) {
    auto Part = decodeMessage<ConfigStateChunk>(Record.Body);
    if (Record.Kind != StateChunkKind || !Part)
      continue;
    auto &State = States[{Part.value().Next, Record.Writer}];
    State.Count = Part.value().Count;
    State.Parts[Part.value().Index] = std::move(Part.value().Bytes);
  }
}

} // namespace

Result<void> ConfigSnapshotLog::save(const ConfigReplica &Replica,
                                     Duration AppendTimeout) {
  Offset Next = Replica.position().Next;
  std::vector<StreamRecord> Batch;
  auto Parts = cutState(Next, Replica.encodeState());
  for (const auto &Part : Parts) {
    StreamRecord Record;
    Record.Writer = this->Self;
    Record.Kind = StateChunkKind;
    Record.Body = encodeMessage(Part);
    Record.Id = hash128(Record.Body, this->Self.Run);
    Batch.push_back(std::move(Record));
    if (Batch.size() < ChunksPerAppend && Part.Index + 1 < Part.Count)
      continue;
    BOOST_OUTCOME_TRYV(this->Log.Append(ConfigSnapshotStream,
                                        encodeBatch(Batch),
                                        this->Tasks.Now() + AppendTimeout));
    Batch.clear();
  }
  return success();
}

Result<bool> ConfigSnapshotLog::load(ConfigReplica &Replica) {
  BOOST_OUTCOME_TRY(Range, this->Log.Read(ConfigSnapshotStream, FarAhead, 1,
                                          Duration::zero()));
  Collection States;
  Offset At = Range.FirstRetained;
  while (At < Range.Next) {
    BOOST_OUTCOME_TRY(Page, this->Log.Read(ConfigSnapshotStream, At,
                                           EntriesPerRead, Duration::zero()));
    if (Page.Entries.empty())
      break;
    for (const auto &Entry : Page.Entries)
      collect(States, Entry);
    At = Offset{Page.Entries.back().At.Value + 1};
  }
  for (auto State = States.rbegin(); State != States.rend(); ++State) {
    if (!State->second.isWhole())
      continue;
    std::string Bytes;
    for (const auto &[Index, Part] : State->second.Parts)
      Bytes += Part;
    auto Taken = Replica.restore(Bytes);
    if (Taken)
      return Taken.value();
  }
  return false;
}

} // namespace bergamothook
