/// \file
/// Stores snapshots of a stream's fold in a separate stream, so that the log
/// may truncate the records that they cover.

#ifndef BERGAMOTHOOK_LIBSTREAM_SNAPSHOTSTORE_H
#define BERGAMOTHOOK_LIBSTREAM_SNAPSHOTSTORE_H

#include "LibBase/Random.h"
#include "LibPlatform/LogHooks.h"
#include "LibStream/StreamError.h"
#include "LibTask/Runtime.h"

#include <map>
#include <optional>

namespace bergamothook {

struct SnapshotStoreLimits {
  /// Must be less than the maximum payload size of the log.
  std::size_t MaxChunkBytes = 256 * 1024;
  std::size_t MaxSnapshotBytes = 512U << 20;
  std::size_t MaxEntriesPerRead = 64;
  Duration AppendTimeout = std::chrono::seconds(2);
  Duration RetryInterval = std::chrono::milliseconds(100);
  /// Append attempts per chunk.
  std::uint32_t MaxAttempts = 8;
};

/// The state of a fold, and the offset from which its reader continues.
struct StreamSnapshot {
  /// All records below this offset are included; it is the next one to read.
  Offset Covered;
  std::string Content;
};

/// Writes and reads the snapshots of the stream "S" in "S.snapshots". A
/// snapshot is valid only if all of its chunks are present and the content hash
/// matches, so that a partially written one is never loaded. Of the valid
/// snapshots, the one with the greatest covered offset is used, regardless of
/// its position in the stream. Two writers of the same snapshot write identical
/// chunks, and duplicate chunks are ignored.
class SnapshotStore {
public:
  SnapshotStore(const std::string &Stream, LogHooks Log, Runtime Tasks,
                SnapshotStoreLimits Limits, std::uint64_t Seed);

  /// Writes \p Snapshot. An append without a response is retried, which may
  /// leave a duplicate chunk. Blocks the calling task.
  Result<void> write(const StreamSnapshot &Snapshot);

  /// Reads the stream up to its end. \returns the newest valid snapshot, or
  /// nothing if there is none. A snapshot whose first chunks the log has
  /// truncated is not valid. Blocks the calling task.
  Result<std::optional<StreamSnapshot>> newest();

  /// The offset covered by the newest valid snapshot read so far; 0 for none.
  /// Lets a host skip a snapshot that a peer has just written.
  Offset newestCovered() const;

private:
  /// The chunks of one snapshot received so far, by chunk number.
  struct Partial {
    std::uint32_t Count = 0;
    std::size_t Bytes = 0;
    std::map<std::uint32_t, std::string> Chunks;
  };
  /// Identifies a snapshot by its covered offset and its content hash.
  using Key = std::pair<Offset, std::uint64_t>;

  Result<void> appendChunk(const std::string &Payload);
  Result<void> readToEnd();
  Result<Offset> firstRetained();
  void addChunk(const std::string &Payload);
  void assemble(const Key &SnapshotKey, const Partial &Complete);

  std::string Stream;
  LogHooks Log;
  Runtime Tasks;
  SnapshotStoreLimits Limits;
  Random Rng;
  Offset Next;
  std::map<Key, Partial> Partials;
  std::optional<StreamSnapshot> Newest;
};

} // namespace bergamothook

#endif
