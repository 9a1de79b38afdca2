#include "LibMembership/RumorQueue.h"

#include <algorithm>
#include <bit>

namespace bergamothook {

namespace {
constexpr std::uint32_t SendsPerDoubling = 3;
} // namespace

void RumorQueue::add(const HostRumor &Rumor, std::size_t FleetSize) {
  auto Doublings = static_cast<std::uint32_t>(std::bit_width(FleetSize + 1));
  this->Rumors[Rumor.Host] = {Rumor, SendsPerDoubling * Doublings};
}

std::vector<HostRumor> RumorQueue::take(std::size_t MaxCount) {
  std::vector<QueuedRumor *> Order;
  for (auto &[Host, Queued] : this->Rumors)
    Order.push_back(&Queued);
  std::size_t Count = std::min(MaxCount, Order.size());
  std::partial_sort(Order.begin(), Order.begin() + Count, Order.end(),
                    [](const QueuedRumor *First, const QueuedRumor *Second) {
                      return First->RemainingSends > Second->RemainingSends;
                    });
  std::vector<HostRumor> Selected;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Selected.push_back(Order[Index]->Rumor);
    --Order[Index]->RemainingSends;
  }
  std::erase_if(this->Rumors, [](const auto &Queued) {
    return Queued.second.RemainingSends == 0;
  });
  return Selected;
}

} // namespace bergamothook
