#include "LibLoan/ReturnQueue.h"

#include <algorithm>

namespace bergamothook {

void ReturnQueue::add(HostId Lender, const LoanReturn &Message, TimePoint Now) {
  if (this->Waiting.size() >= this->Policy.MaxWaiting) {
    ++this->GivenUp;
    return;
  }
  this->Waiting[Message.Number] = {{Lender, Message},
                                   Now + this->Policy.FirstPause,
                                   Now + this->Policy.Lifetime,
                                   this->Policy.FirstPause};
}

void ReturnQueue::onReceipt(HostId From, std::uint64_t Number) {
  auto Found = this->Waiting.find(Number);
  if (Found != this->Waiting.end() && Found->second.Return.Lender == From)
    this->Waiting.erase(Found);
}

std::vector<DueReturn> ReturnQueue::takeDue(TimePoint Now) {
  std::vector<DueReturn> Due;
  for (auto Place = this->Waiting.begin(); Place != this->Waiting.end();) {
    Entry &Each = Place->second;
    if (Each.EndsAt <= Now) {
      ++this->GivenUp;
      Place = this->Waiting.erase(Place);
      continue;
    }
    if (Each.NextAt <= Now) {
      Each.Pause = std::min(2 * Each.Pause, this->Policy.LongestPause);
      Each.NextAt = Now + Each.Pause;
      Due.push_back(Each.Return);
    }
    ++Place;
  }
  return Due;
}

TimePoint ReturnQueue::nextDue() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Number, Each] : this->Waiting)
    Next = std::min(Next, Each.NextAt);
  return Next;
}

} // namespace bergamothook
