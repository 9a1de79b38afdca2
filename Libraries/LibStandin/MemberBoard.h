/// \file
/// The platform's membership list, shown to its readers with a lag.

#ifndef BERGAMOTHOOK_LIBSTANDIN_MEMBERBOARD_H
#define BERGAMOTHOOK_LIBSTANDIN_MEMBERBOARD_H

#include "LibPlatform/MembershipHooks.h"

#include <deque>

namespace bergamothook {

class MemberBoard {
public:
  /// \p First is visible at once.
  explicit MemberBoard(std::vector<Member> First);

  /// Replaces the list at the time \p Now. \returns its version.
  std::uint64_t replace(std::vector<Member> Members, TimePoint Now);

  /// The list that readers see at the time \p Now.
  MemberList visible(TimePoint Now);

  /// The time between a change and its being visible.
  Duration Lag = std::chrono::milliseconds(500);
  /// Every read fails while it is set.
  bool IsDown = false;

private:
  struct Pending {
    TimePoint VisibleAt;
    MemberList List;
  };

  MemberList Shown;
  std::uint64_t LastVersion = 1;
  std::deque<Pending> Changes;
};

} // namespace bergamothook

#endif
