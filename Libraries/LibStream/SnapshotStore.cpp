#include "LibStream/SnapshotStore.h"

#include "LibBase/Hash.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace bergamothook {

namespace {

constexpr std::uint8_t FormatVersion = 1;

/// The header of each chunk.
struct ChunkHeader {
  std::uint8_t Version = FormatVersion;
  Offset Covered;
  std::uint64_t ContentHash = 0;
  std::uint32_t Number = 0;
  std::uint32_t Count = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Covered, this->ContentHash, this->Number,
       this->Count);
  }
};

/// The byte order mark of cereal and the fields of ChunkHeader.
constexpr std::size_t HeaderBytes = 1 + 1 + 8 + 8 + 4 + 4;

std::string encode(const ChunkHeader &Header, std::string_view Bytes) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(
        Out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    Archive(Header);
  }
  return std::move(Out).str().append(Bytes);
}

std::optional<ChunkHeader> decode(const std::string &Payload) {
  if (Payload.size() < HeaderBytes || Payload[0] != 1)
    return std::nullopt;
  std::istringstream In(Payload.substr(0, HeaderBytes));
  cereal::PortableBinaryInputArchive Archive(In);
  ChunkHeader Header;
  Archive(Header);
  if (Header.Version != FormatVersion || Header.Number >= Header.Count)
    return std::nullopt;
  return Header;
}

} // namespace

SnapshotStore::SnapshotStore(const std::string &Stream, LogHooks Log,
                             Runtime Tasks, SnapshotStoreLimits Limits,
                             std::uint64_t Seed)
    : Stream(Stream + ".snapshots"), Log(std::move(Log)),
      Tasks(std::move(Tasks)), Limits(Limits), Rng(Seed) {}

Offset SnapshotStore::newestCovered() const {
  return this->Newest ? this->Newest->Covered : Offset{};
}

Result<void> SnapshotStore::write(const StreamSnapshot &Snapshot) {
  std::size_t ChunkBytes = this->Limits.MaxChunkBytes;
  std::size_t Size = Snapshot.Content.size();
  ChunkHeader Header;
  Header.Covered = Snapshot.Covered;
  Header.ContentHash = hash64(Snapshot.Content);
  Header.Count = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, (Size + ChunkBytes - 1) / ChunkBytes));
  for (; Header.Number < Header.Count; ++Header.Number) {
    auto Bytes = std::string_view(Snapshot.Content)
                     .substr(Header.Number * ChunkBytes, ChunkBytes);
    BOOST_OUTCOME_TRYV(this->appendChunk(encode(Header, Bytes)));
  }
  return success();
}

Result<void> SnapshotStore::appendChunk(const std::string &Payload) {
  std::error_code Failure;
  for (std::uint32_t Attempt = 0; Attempt < this->Limits.MaxAttempts;
       ++Attempt) {
    auto At = this->Log.Append(this->Stream, Payload,
                               this->Tasks.Now() + this->Limits.AppendTimeout);
    if (At)
      return success();
    Failure = At.error();
    if (Failure == LogError::TooLarge)
      break;
    this->Tasks.sleepUntil(
        this->Tasks.Now() +
        this->Rng.jitter(this->Limits.RetryInterval * (1U << Attempt)));
  }
  return Failure;
}

Result<std::optional<StreamSnapshot>> SnapshotStore::newest() {
  BOOST_OUTCOME_TRYV(this->readToEnd());
  return this->Newest;
}

Result<void> SnapshotStore::readToEnd() {
  for (;;) {
    auto Page =
        this->Log.Read(this->Stream, this->Next, this->Limits.MaxEntriesPerRead,
                       Duration::zero());
    if (!Page && Page.error() == LogError::BelowRetention) {
      BOOST_OUTCOME_TRY(First, this->firstRetained());
      this->Next = First;
      continue;
    }
    if (!Page)
      return Page.error();
    for (const auto &Entry : Page.value().Entries)
      this->addChunk(Entry.Payload);
    if (!Page.value().Entries.empty())
      this->Next = Offset{Page.value().Entries.back().At.Value + 1};
    if (this->Next >= Page.value().Next)
      return success();
  }
}

Result<Offset> SnapshotStore::firstRetained() {
  // Only a successful read reports the first retained offset, so the offset is
  // advanced in doubling steps until a read succeeds.
  std::uint64_t Step = 1;
  for (;;) {
    Offset Probe{this->Next.Value + Step};
    auto Page = this->Log.Read(this->Stream, Probe, 1, Duration::zero());
    if (Page)
      return Page.value().FirstRetained;
    if (Page.error() != LogError::BelowRetention)
      return Page.error();
    Step *= 2;
  }
}

void SnapshotStore::addChunk(const std::string &Payload) {
  auto Header = decode(Payload);
  if (!Header || (this->Newest && Header->Covered <= this->Newest->Covered))
    return;
  Key SnapshotKey{Header->Covered, Header->ContentHash};
  Partial &Snapshot = this->Partials[SnapshotKey];
  Snapshot.Count = Header->Count;
  auto [Chunk, IsNew] =
      Snapshot.Chunks.emplace(Header->Number, Payload.substr(HeaderBytes));
  if (!IsNew)
    return;
  Snapshot.Bytes += Chunk->second.size();
  if (Snapshot.Bytes > this->Limits.MaxSnapshotBytes)
    this->Partials.erase(SnapshotKey);
  else if (Snapshot.Chunks.size() == Snapshot.Count)
    this->assemble(SnapshotKey, Snapshot);
}

void SnapshotStore::assemble(const Key &SnapshotKey, const Partial &Complete) {
  StreamSnapshot Assembled{SnapshotKey.first, {}};
  Assembled.Content.reserve(Complete.Bytes);
  for (const auto &[Number, Bytes] : Complete.Chunks)
    Assembled.Content += Bytes;
  if (hash64(Assembled.Content) != SnapshotKey.second) {
    this->Partials.erase(SnapshotKey);
    return;
  }
  this->Newest = std::move(Assembled);
  std::erase_if(this->Partials, [&](const auto &Entry) {
    return Entry.first.first <= this->Newest->Covered;
  });
}

} // namespace bergamothook
