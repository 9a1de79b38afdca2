/// \file
/// What hosts tell one another about a host.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_HOSTRUMOR_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_HOSTRUMOR_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <string>
#include <vector>

namespace bergamothook {

/// The state of a host, in the order in which one overrides another.
enum class HostState : std::uint8_t { Alive, Suspect, Leaving, Dead };

/// A statement about one run of one host. A statement with a higher counter
/// overrides any other about the host; only the host itself raises it.
struct HostRumor {
  HostId Host;
  std::uint64_t Run = 0;
  std::uint64_t Counter = 0;
  HostState State = HostState::Alive;
  /// The wall time at which the run started. Only used between two runs that
  /// know nothing of each other.
  std::uint64_t StartedMilliseconds = 0;
  /// The run that this one has replaced; 0 for none known.
  std::uint64_t ReplacedRun = 0;
  FailureDomainId Domain;
  /// Where the run listens, for hosts whose list does not have it yet.
  std::string Address;
  std::uint16_t Port = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Host, this->Run, this->Counter, this->State,
       this->StartedMilliseconds, this->ReplacedRun, this->Domain,
       this->Address, this->Port);
  }
};

/// Tells whether \p New overrides \p Known.
bool overrides(const HostRumor &New, const HostRumor &Known);

} // namespace bergamothook

#endif
