#include "LibPeer/ReplayWindow.h"

namespace bergamothook {

bool ReplayWindow::accept(std::uint64_t Sequence) {
  if (Sequence == 0)
    return false;
  if (Sequence > this->HighestSequence) {
    if (Sequence - this->HighestSequence >= WindowSize)
      this->Received.reset();
    else
      for (std::uint64_t Skipped = this->HighestSequence + 1;
           Skipped < Sequence; ++Skipped)
        this->Received.reset(Skipped % WindowSize);
    this->HighestSequence = Sequence;
    this->Received.set(Sequence % WindowSize);
    return true;
  }
  if (this->HighestSequence - Sequence >= WindowSize ||
      this->Received.test(Sequence % WindowSize))
    return false;
  this->Received.set(Sequence % WindowSize);
  return true;
}

} // namespace bergamothook
