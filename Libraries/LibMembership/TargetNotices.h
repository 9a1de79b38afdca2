/// \file
/// Notices of leaving targets that the platform's list does not show yet.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_TARGETNOTICES_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_TARGETNOTICES_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <map>
#include <vector>

namespace bergamothook {

/// A notice that a target is leaving, with the time since its first report.
struct TargetNotice {
  TargetId Target;
  std::uint64_t AgeMilliseconds = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Target, this->AgeMilliseconds);
  }
};

/// The current notices. A notice expires after its lifetime, which is far
/// longer than the lag of the platform's list, so the list shows the state by
/// then. The age is sent with the notice, so that hosts don't renew it by
/// passing it to one another.
class TargetNotices {
public:
  explicit TargetNotices(Duration Lifetime = std::chrono::minutes(3))
      : Lifetime(Lifetime) {}

  /// Records that \p Target is leaving, as reported by the target itself or by
  /// a client that asked it. \returns whether the notice is new.
  bool markLeaving(TargetId Target, TimePoint Now);

  /// Adds a notice from another host. \returns whether the notice is new.
  bool apply(const TargetNotice &Received, TimePoint Now);

  bool isLeaving(TargetId Target, TimePoint Now) const;

  /// All notices that have not expired.
  std::vector<TargetNotice> all(TimePoint Now) const;

  /// A hash of the targets of all notices that have not expired. Equal sets
  /// have equal digests.
  std::uint64_t digest(TimePoint Now) const;

  void expire(TimePoint Now);

private:
  Duration Lifetime;
  /// When each target was first reported as leaving, on this host's clock.
  std::map<TargetId, TimePoint> FirstReportedAt;
};

} // namespace bergamothook

#endif
