#include "LibMembership/HostRumor.h"

#include <tuple>

namespace bergamothook {

bool overrides(const HostRumor &New, const HostRumor &Current) {
  auto Rank = [](const HostRumor &Rumor) {
    return std::tuple(Rumor.Counter, Rumor.StartedMilliseconds, Rumor.Run,
                      Rumor.State);
  };
  return Rank(New) > Rank(Current);
}

} // namespace bergamothook
