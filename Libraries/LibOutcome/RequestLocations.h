/// \file
/// Remembers on behalf of other hosts which engine runs a request, so that a
/// retry on any host finds the stream of an attempt whose host died.

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
  std::size_t MaxEntries = 50'000;
  Duration Lifetime = std::chrono::minutes(15);
};

/// The request locations that one host keeps for others. If one is lost, a
/// retry generates a second time, but is never billed twice.
class RequestLocations {
public:
  explicit RequestLocations(RequestLocationsLimits Limits);

  /// Records that \p Target runs \p Request. Replaces an earlier location.
  void record(RequestId Request, TargetId Target, TimePoint Now);

  /// \returns the target recorded last, unless the entry has expired.
  std::optional<TargetId> find(RequestId Request, TimePoint Now) const;

  std::size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    TargetId Target;
    TimePoint RecordedAt;
  };

  void evict(TimePoint Now);

  RequestLocationsLimits Limits;
  std::unordered_map<RequestId, Entry> Entries;
  /// Each record() call in its order. A request recorded again appears twice.
  std::deque<std::pair<TimePoint, RequestId>> InsertionOrder;
};

/// A host that can store locations.
struct LocationReplica {
  HostId Host;
  FailureDomainId Domain;
};

/// Chooses up to \p Count of \p Candidates to store the location of \p Request,
/// in different failure domains as far as there are enough. Hosts that know the
/// same candidates choose the same ones, whatever their order.
std::vector<HostId>
chooseLocationReplicas(RequestId Request,
                       std::vector<LocationReplica> Candidates,
                       std::size_t Count);

} // namespace bergamothook

#endif
