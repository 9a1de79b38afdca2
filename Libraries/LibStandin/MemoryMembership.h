/// \file
/// An in-memory membership list of the platform whose changes become visible to
/// readers after a lag.

#ifndef BERGAMOTHOOK_LIBSTANDIN_MEMORYMEMBERSHIP_H
#define BERGAMOTHOOK_LIBSTANDIN_MEMORYMEMBERSHIP_H

#include "LibPlatform/MembershipHooks.h"

#include <deque>

namespace bergamothook {

class MemoryMembership {
public:
  /// \p Initial is visible immediately.
  explicit MemoryMembership(std::vector<Member> Initial);

  /// Replaces the list at the time \p Now. \returns its version.
  std::uint64_t replace(std::vector<Member> Members, TimePoint Now);

  /// \returns the list that readers see at the time \p Now.
  MemberList visible(TimePoint Now);

  /// The time until a change becomes visible.
  Duration Lag = std::chrono::milliseconds(500);
  /// Whether the list is unavailable. visible() ignores it; the server that
  /// exposes the list checks it.
  bool IsDown = false;

private:
  struct PendingChange {
    TimePoint VisibleAt;
    MemberList List;
  };

  MemberList VisibleList;
  std::uint64_t LastVersion = 1;
  std::deque<PendingChange> PendingChanges;
};

} // namespace bergamothook

#endif
