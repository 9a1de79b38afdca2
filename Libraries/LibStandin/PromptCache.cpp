#include "LibStandin/PromptCache.h"

namespace bergamothook {

namespace {
/// Older events are dropped; a reader that far behind reads the whole content.
constexpr std::size_t KeptEvents = 4096;
} // namespace

PromptCache::PromptCache(std::size_t CapacityBlocks, std::uint64_t Seed)
    : CapacityBlocks(CapacityBlocks), Dice(Seed) {}

std::size_t PromptCache::use(std::span<const PrefixHash> Blocks) {
  std::size_t Held = 0;
  for (PrefixHash Block : Blocks) {
    auto Found = this->Places.find(Block);
    if (Found == this->Places.end())
      return Held;
    this->Order.splice(this->Order.begin(), this->Order, Found->second);
    ++Held;
  }
  return Held;
}

void PromptCache::store(std::span<const PrefixHash> Blocks, TimePoint Now) {
  for (PrefixHash Block : Blocks) {
    if (this->Places.count(Block) > 0)
      continue;
    if (this->Places.size() >= this->CapacityBlocks)
      this->evict(Now);
    this->Order.push_front(Block);
    this->Places[Block] = this->Order.begin();
    this->publish(Block, true, Now);
  }
}

void PromptCache::evict(TimePoint Now) {
  if (this->Order.empty())
    return;
  PrefixHash Oldest = this->Order.back();
  this->Order.pop_back();
  this->Places.erase(Oldest);
  this->publish(Oldest, false, Now);
}

void PromptCache::publish(PrefixHash Block, bool IsStored, TimePoint Now) {
  CacheEvent Event{++this->Sequence, Block, IsStored};
  if (this->Dice.chance(this->Faults.LostShare))
    return;
  this->Events.push_back({Now + this->Faults.Lag, Event});
  if (this->Events.size() > KeptEvents)
    this->Events.pop_front();
}

std::vector<CacheEvent> PromptCache::eventsAfter(std::uint64_t After,
                                                 TimePoint Now,
                                                 std::size_t MaxEvents) const {
  std::vector<CacheEvent> Visible;
  for (const Published &Candidate : this->Events) {
    if (Candidate.VisibleAt > Now || Visible.size() >= MaxEvents)
      break;
    if (Candidate.Event.Sequence > After)
      Visible.push_back(Candidate.Event);
  }
  return Visible;
}

std::vector<PrefixHash> PromptCache::blocks() const {
  return {this->Order.begin(), this->Order.end()};
}

void PromptCache::clear() {
  this->Order.clear();
  this->Places.clear();
  this->Events.clear();
  this->Sequence = 0;
}

} // namespace bergamothook
