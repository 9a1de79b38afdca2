#include "LibPeer/ReplayWindow.h"

namespace bergamothook {

bool ReplayWindow::accept(std::uint64_t Number) {
  if (Number == 0)
    return false;
  if (Number > this->Highest) {
    if (Number - this->Highest >= Width)
      this->Received.reset();
    else
      for (std::uint64_t Skipped = this->Highest + 1; Skipped < Number;
           ++Skipped)
        this->Received.reset(Skipped % Width);
    this->Highest = Number;
    this->Received.set(Number % Width);
    return true;
  }
  if (this->Highest - Number >= Width || this->Received.test(Number % Width))
    return false;
  this->Received.set(Number % Width);
  return true;
}

} // namespace bergamothook
