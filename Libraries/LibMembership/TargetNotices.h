/// \file
/// Which targets hosts have heard to be leaving, before the platform's list
/// says so.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_TARGETNOTICES_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_TARGETNOTICES_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"

#include <map>
#include <vector>

namespace bergamothook {

/// A statement that a target is leaving, with the time since it was first made.
struct TargetNotice {
  TargetId Target;
  std::uint64_t AgeMilliseconds = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Target, this->AgeMilliseconds);
  }
};

/// The notices in force. A notice ends after its lifetime, which is far above
/// the lag of the platform's list: by then the list tells. Its age travels with
/// it, so that hosts can't keep it alive among themselves.
class TargetNotices {
public:
  explicit TargetNotices(Duration Lifetime = std::chrono::minutes(3))
      : Lifetime(Lifetime) {}

  /// Notes that \p Target itself, or someone who asked it, says that it is
  /// leaving. \returns whether that is news.
  bool note(TargetId Target, TimePoint Now);

  /// Takes a notice of another host. \returns whether it is news.
  bool apply(const TargetNotice &Told, TimePoint Now);

  bool isLeaving(TargetId Target, TimePoint Now) const;

  /// All notices in force.
  std::vector<TargetNotice> all(TimePoint Now) const;

  /// The same on hosts with the same notices.
  std::uint64_t digest(TimePoint Now) const;

  void expire(TimePoint Now);

private:
  Duration Lifetime;
  /// When each target was first said to be leaving, on this host's clock.
  std::map<TargetId, TimePoint> Since;
};

} // namespace bergamothook

#endif
