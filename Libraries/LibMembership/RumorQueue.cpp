#include "LibMembership/RumorQueue.h"

#include <algorithm>
#include <bit>

namespace bergamothook {

namespace {
constexpr std::uint32_t SendsPerDoubling = 3;
} // namespace

void RumorQueue::add(const HostRumor &News, std::size_t FleetSize) {
  auto Doublings = static_cast<std::uint32_t>(std::bit_width(FleetSize + 1));
  this->Rumors[News.Host] = {News, SendsPerDoubling * Doublings};
}

std::vector<HostRumor> RumorQueue::take(std::size_t Most) {
  std::vector<Waiting *> Order;
  for (auto &[Host, Known] : this->Rumors)
    Order.push_back(&Known);
  std::size_t Count = std::min(Most, Order.size());
  std::partial_sort(Order.begin(), Order.begin() + Count, Order.end(),
                    [](const Waiting *One, const Waiting *Other) {
                      return One->SendsLeft > Other->SendsLeft;
                    });
  std::vector<HostRumor> Taken;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Taken.push_back(Order[Index]->Rumor);
    --Order[Index]->SendsLeft;
  }
  std::erase_if(this->Rumors,
                [](const auto &Known) { return Known.second.SendsLeft == 0; });
  return Taken;
}

} // namespace bergamothook
