#include "LibRateLimit/LimitShare.h"

#include <algorithm>

namespace bergamothook {

bool LimitShare::lease(HostId Lessee, std::uint64_t Round, TimePoint Now) {
  if (this->LeasedTo != Lessee && Now < this->LeasedUntil)
    return false;
  this->LeasedTo = Lessee;
  this->LeasedRound = Round;
  this->LeasedUntil = Now + this->LeaseTime;
  return true;
}

void LimitShare::release(HostId Lessee, std::uint64_t Round, TimePoint Now) {
  if (this->LeasedTo == Lessee && this->LeasedRound <= Round)
    this->LeasedUntil = std::min(this->LeasedUntil, Now);
}

} // namespace bergamothook
