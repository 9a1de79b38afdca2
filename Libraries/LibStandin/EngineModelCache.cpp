#include "LibStandin/EngineModelCache.h"

namespace bergamothook {

namespace {

/// The events that can still be read.
constexpr std::size_t MaxEvents = 8192;

} // namespace

EngineModelCache::EngineModelCache(std::size_t Capacity, Duration Delay,
                                   double Loss, std::uint64_t Seed)
    : Capacity(Capacity), Delay(Delay), Loss(Loss), Draws(Seed) {}

std::size_t EngineModelCache::use(std::span<const PrefixHash> Blocks) {
  std::size_t Held = 0;
  for (PrefixHash Block : Blocks) {
    auto Found = this->Places.find(Block);
    if (Found == this->Places.end())
      return Held;
    this->Recent.splice(this->Recent.begin(), this->Recent, Found->second);
    ++Held;
  }
  return Held;
}

void EngineModelCache::store(std::span<const PrefixHash> Blocks,
                             TimePoint Now) {
  for (PrefixHash Block : Blocks) {
    if (this->Places.contains(Block))
      continue;
    this->Recent.push_front(Block);
    this->Places.emplace(Block, this->Recent.begin());
    this->publish(Block, true, Now);
    if (this->Recent.size() <= this->Capacity)
      continue;
    PrefixHash Evicted = this->Recent.back();
    this->Recent.pop_back();
    this->Places.erase(Evicted);
    this->publish(Evicted, false, Now);
  }
}

std::vector<CacheEvent> EngineModelCache::events(std::uint64_t After,
                                                 TimePoint Now) const {
  std::vector<CacheEvent> Page;
  for (const Published &Entry : this->Log)
    if (Entry.Event.Sequence > After && Entry.At + this->Delay <= Now)
      Page.push_back(Entry.Event);
  return Page;
}

CacheSnapshot EngineModelCache::snapshot() const {
  return {this->LastSequence, {this->Recent.begin(), this->Recent.end()}};
}

void EngineModelCache::clear() {
  this->Recent.clear();
  this->Places.clear();
}

void EngineModelCache::publish(PrefixHash Block, bool IsStored, TimePoint Now) {
  ++this->LastSequence;
  if (this->Draws.chance(this->Loss))
    return;
  this->Log.push_back({Now, {this->LastSequence, Block, IsStored}});
  if (this->Log.size() > MaxEvents)
    this->Log.pop_front();
}

} // namespace bergamothook
