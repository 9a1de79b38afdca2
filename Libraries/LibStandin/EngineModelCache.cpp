#include "LibStandin/EngineModelCache.h"

namespace bergamothook {

namespace {

/// Published events kept for reading; older ones are dropped.
constexpr std::size_t MaxRetainedEvents = 8192;

} // namespace

EngineModelCache::EngineModelCache(std::size_t Capacity, Duration Delay,
                                   double Loss, std::uint64_t Seed)
    : Capacity(Capacity), Delay(Delay), Loss(Loss), Rng(Seed) {}

std::size_t EngineModelCache::use(std::span<const PrefixHash> Blocks) {
  std::size_t Hits = 0;
  for (PrefixHash Block : Blocks) {
    auto Found = this->Positions.find(Block);
    if (Found == this->Positions.end())
      return Hits;
    this->BlocksByRecency.splice(this->BlocksByRecency.begin(),
                                 this->BlocksByRecency, Found->second);
    ++Hits;
  }
  return Hits;
}

void EngineModelCache::store(std::span<const PrefixHash> Blocks,
                             TimePoint Now) {
  for (PrefixHash Block : Blocks) {
    if (this->Positions.contains(Block))
      continue;
    this->BlocksByRecency.push_front(Block);
    this->Positions.emplace(Block, this->BlocksByRecency.begin());
    this->publish(Block, true, Now);
    if (this->BlocksByRecency.size() <= this->Capacity)
      continue;
    PrefixHash Evicted = this->BlocksByRecency.back();
    this->BlocksByRecency.pop_back();
    this->Positions.erase(Evicted);
    this->publish(Evicted, false, Now);
  }
}

std::vector<CacheEvent> EngineModelCache::events(std::uint64_t After,
                                                 TimePoint Now) const {
  std::vector<CacheEvent> Page;
  for (const PublishedEvent &Entry : this->EventLog)
    if (Entry.Event.Sequence > After && Entry.At + this->Delay <= Now)
      Page.push_back(Entry.Event);
  return Page;
}

CacheSnapshot EngineModelCache::snapshot() const {
  return {this->LastSequence,
          {this->BlocksByRecency.begin(), this->BlocksByRecency.end()}};
}

void EngineModelCache::clear() {
  this->BlocksByRecency.clear();
  this->Positions.clear();
}

void EngineModelCache::publish(PrefixHash Block, bool IsStored, TimePoint Now) {
  ++this->LastSequence;
  if (this->Rng.chance(this->Loss))
    return;
  this->EventLog.push_back({Now, {this->LastSequence, Block, IsStored}});
  if (this->EventLog.size() > MaxRetainedEvents)
    this->EventLog.pop_front();
}

} // namespace bergamothook
