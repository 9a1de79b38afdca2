/// \file
/// Puts together a state that comes in parts.

#ifndef BERGAMOTHOOK_LIBCONFIG_STATEASSEMBLER_H
#define BERGAMOTHOOK_LIBCONFIG_STATEASSEMBLER_H

#include "LibBase/Time.h"
#include "LibConfig/ConfigMessages.h"

namespace bergamothook {

/// Collects the parts of one state from one sender at a time. Parts that are
/// out of order, or too many, drop what was collected.
class StateAssembler {
public:
  /// Takes one part. \returns the whole state with its last part.
  std::optional<std::string>
  addChunk(HostId Sender, const ConfigStateChunk &Part, TimePoint Now);

  /// Tells whether parts are coming in.
  bool isBusy(TimePoint Now) const;

private:
  HostId Sender;
  Offset Next;
  std::uint32_t Count = 0;
  std::uint32_t Taken = 0;
  std::string Bytes;
  TimePoint LastPart{};
};

/// Cuts \p State into parts that each fit in a frame of a stream.
std::vector<ConfigStateChunk> cutState(Offset Next, std::string_view State);

} // namespace bergamothook

#endif
