/// \file
/// The gossip message about the state of a host.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_HOSTRUMOR_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_HOSTRUMOR_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <string>
#include <vector>

namespace bergamothook {

/// The state of a host. A later value overrides an earlier one.
enum class HostState : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// The state of one run of one host. A rumor with a higher counter overrides
/// all others about the host. Only the host itself increments its counter.
struct HostRumor {
  HostId Host;
  std::uint64_t Run = 0;
  std::uint64_t Counter = 0;
  HostState State = HostState::Alive;
  /// The wall-clock time at which the run started. Only used to order two runs
  /// that have no knowledge of each other.
  std::uint64_t StartedMilliseconds = 0;
  /// The run that this one has replaced, or 0 if none is known.
  std::uint64_t ReplacedRun = 0;
  FailureDomainId Domain;
  /// The address on which the run listens, for hosts whose copy of the
  /// platform's list does not contain it yet.
  std::string Address;
  std::uint16_t Port = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Host, this->Run, this->Counter, this->State,
       this->StartedMilliseconds, this->ReplacedRun, this->Domain,
       this->Address, this->Port);
  }
};

/// Whether \p New overrides \p Current.
bool overrides(const HostRumor &New, const HostRumor &Current);

} // namespace bergamothook

#endif
