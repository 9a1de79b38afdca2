/// \file
/// Keeps snapshots of a stream's fold in a stream of their own, so that the log
/// may forget the records that they cover.

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
  /// Must be less than the largest payload of the log.
  std::size_t MaxChunkBytes = 256 * 1024;
  /// The most bytes that a snapshot may have.
  std::size_t MaxSnapshotBytes = 512U << 20;
  std::size_t MaxEntriesPerRead = 64;
  Duration AppendTimeout = std::chrono::seconds(2);
  Duration RetryInterval = std::chrono::milliseconds(100);
  /// How many tries one chunk gets.
  std::uint32_t MaxTries = 8;
};

/// The state of a fold, and where its reader goes on.
struct StreamSnapshot {
  /// All records below this offset are included; it is the next one to read.
  Offset Covered;
  std::string Content;
};

/// Writes and reads the snapshots of the stream "S" in "S.snapshots". A
/// snapshot counts when all of its chunks are there and their hash is right, so
/// that a half-written one is never loaded. Of the whole ones that with the
/// greatest offset counts, wherever it stands; two writers of one snapshot
/// write the same chunks, and a second copy of a chunk is ignored.
class SnapshotStore {
public:
  SnapshotStore(const std::string &Stream, LogHooks Log, Runtime Tasks,
                SnapshotStoreLimits Limits, std::uint64_t Seed);

  /// Writes \p Snapshot. An append without an answer is repeated, which may
  /// leave a second copy of a chunk. Blocks the calling task.
  Result<void> write(const StreamSnapshot &Snapshot);

  /// Reads the stream on to its end. \returns the newest whole snapshot, or
  /// nothing when there is none. A snapshot whose first chunks the log forgot
  /// does not count. Blocks the calling task.
  Result<std::optional<StreamSnapshot>> newest();

  /// The offset that the newest whole snapshot read so far covers; 0 for none.
  /// Lets a host leave out a snapshot that a peer has just written.
  Offset newestCovered() const;

private:
  /// The chunks of one snapshot, by their number.
  struct Partial {
    std::uint32_t Count = 0;
    std::size_t Bytes = 0;
    std::map<std::uint32_t, std::string> Chunks;
  };
  /// A snapshot is known by what it covers and by the hash of its content.
  using Key = std::pair<Offset, std::uint64_t>;

  Result<void> appendChunk(const std::string &Payload);
  Result<void> readToEnd();
  Result<Offset> firstRetained();
  void take(const std::string &Payload);
  void finish(const Key &Of, const Partial &Whole);

  std::string Stream;
  LogHooks Log;
  Runtime Tasks;
  SnapshotStoreLimits Limits;
  Random Dice;
  Offset Next;
  std::map<Key, Partial> Partials;
  std::optional<StreamSnapshot> Newest;
};

} // namespace bergamothook

#endif
