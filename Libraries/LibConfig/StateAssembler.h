/// \file
/// Splits an encoded state into chunks and reassembles it.

#ifndef BERGAMOTHOOK_LIBCONFIG_STATEASSEMBLER_H
#define BERGAMOTHOOK_LIBCONFIG_STATEASSEMBLER_H

#include "LibBase/Time.h"
#include "LibConfig/ConfigMessages.h"

namespace bergamothook {

/// Collects the chunks of one state from one sender at a time. Chunks that are
/// out of order, or too many, discard what was collected.
class StateAssembler {
public:
  /// Adds one chunk. \returns the complete state after its last chunk.
  std::optional<std::string>
  addChunk(HostId Sender, const ConfigStateChunk &Chunk, TimePoint Now);

  /// \returns whether a state is being received.
  bool isBusy(TimePoint Now) const;

private:
  HostId Sender;
  Offset Next;
  std::uint32_t Count = 0;
  std::uint32_t ReceivedChunks = 0;
  std::string Bytes;
  TimePoint LastChunkAt{};
};

/// Splits \p State into chunks that each fit in one frame of a stream.
std::vector<ConfigStateChunk> splitState(Offset Next, std::string_view State);

} // namespace bergamothook

#endif
