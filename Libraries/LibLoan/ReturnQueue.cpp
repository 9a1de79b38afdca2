#include "LibLoan/ReturnQueue.h"

#include <algorithm>

namespace bergamothook {

void ReturnQueue::add(HostId Lender, const LoanReturn &Message, TimePoint Now) {
  if (this->Pending.size() >= this->Policy.MaxPending) {
    ++this->Abandoned;
    return;
  }
  this->Pending[Message.Number] = {{Lender, Message},
                                   Now + this->Policy.InitialRetryDelay,
                                   Now + this->Policy.Lifetime,
                                   this->Policy.InitialRetryDelay};
}

void ReturnQueue::onAck(HostId From, std::uint64_t Number) {
  auto Found = this->Pending.find(Number);
  if (Found != this->Pending.end() && Found->second.Return.Lender == From)
    this->Pending.erase(Found);
}

std::vector<DueReturn> ReturnQueue::takeDue(TimePoint Now) {
  std::vector<DueReturn> Due;
  for (auto Position = this->Pending.begin();
       Position != this->Pending.end();) {
    Entry &Each = Position->second;
    if (Each.ExpiresAt <= Now) {
      ++this->Abandoned;
      Position = this->Pending.erase(Position);
      continue;
    }
    if (Each.NextAttempt <= Now) {
      Each.RetryDelay =
          std::min(2 * Each.RetryDelay, this->Policy.MaxRetryDelay);
      Each.NextAttempt = Now + Each.RetryDelay;
      Due.push_back(Each.Return);
    }
    ++Position;
  }
  return Due;
}

TimePoint ReturnQueue::nextDue() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Number, Each] : this->Pending)
    Next = std::min(Next, Each.NextAttempt);
  return Next;
}

} // namespace bergamothook
