/// \file
/// Which engine runs a request, remembered by other hosts, so that a retry on
/// any host finds the stream of an attempt whose host died.

#ifndef BERGAMOTHOOK_LIBOUTCOME_REQUESTLOCATIONS_H
#define BERGAMOTHOOK_LIBOUTCOME_REQUESTLOCATIONS_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bergamothook {

struct RequestLocationsLimits {
  std::size_t MaxNotes = 50'000;
  Duration Lifetime = std::chrono::minutes(15);
};

/// The notes that one host keeps for others. A lost note costs the retry a
/// second generation, and never a second bill.
class RequestLocations {
public:
  explicit RequestLocations(RequestLocationsLimits Limits);

  /// Remembers that \p Target runs \p Request. A later note replaces an earlier
  /// one.
  void record(RequestId Request, TargetId Target, TimePoint Now);

  /// The target noted last, unless that is too long ago.
  std::optional<TargetId> find(RequestId Request, TimePoint Now) const;

  std::size_t size() const { return this->Notes.size(); }

private:
  struct Note {
    TargetId Target;
    TimePoint At;
  };

  void forgetOld(TimePoint Now);

  RequestLocationsLimits Limits;
  std::unordered_map<RequestId, Note> Notes;
  /// Each noting of a request in its order; those noted again are met twice.
  std::deque<std::pair<TimePoint, RequestId>> Order;
};

/// A host that may keep notes.
struct LocationReplica {
  HostId Host;
  FailureDomainId Domain;
};

/// Chooses up to \p Count of \p Present to keep the notes of \p Request, each
/// in another failure domain while there are enough. Hosts that know of the
/// same hosts choose the same keepers, in any order of \p Present.
std::vector<HostId> chooseLocationReplicas(RequestId Request,
                                           std::vector<LocationReplica> Present,
                                           std::size_t Count);

} // namespace bergamothook

#endif
