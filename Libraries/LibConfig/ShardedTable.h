/// \file
/// A copy-on-write hash table whose copies share unmodified shards.

#ifndef BERGAMOTHOOK_LIBCONFIG_SHARDEDTABLE_H
#define BERGAMOTHOOK_LIBCONFIG_SHARDEDTABLE_H

#include <array>
#include <atomic>
#include <memory>
#include <unordered_map>

namespace bergamothook {

/// A hash table split into shards. Copying it copies one pointer per shard; a
/// write copies only the shard that it modifies, and only while that shard is
/// shared. One thread may modify a table while other threads read copies of it.
template <typename Key, typename Value> class ShardedTable {
public:
  /// \returns the value of \p Name, or null.
  const Value *find(const Key &Name) const {
    const auto &Shared = this->Shards[this->shardOf(Name)];
    if (!Shared)
      return nullptr;
    auto Known = Shared->find(Name);
    return Known == Shared->end() ? nullptr : &Known->second;
  }

  void put(const Key &Name, Value New) {
    this->writable(Name).insert_or_assign(Name, std::move(New));
  }

  void erase(const Key &Name) {
    if (this->find(Name))
      this->writable(Name).erase(Name);
  }

  std::size_t size() const {
    std::size_t Count = 0;
    for (const auto &Shared : this->Shards)
      Count += Shared ? Shared->size() : 0;
    return Count;
  }

  /// Calls \p Visit with each key and value, in unspecified order.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (const auto &Shared : this->Shards)
      if (Shared)
        for (const auto &[Name, Known] : *Shared)
          Visit(Name, Known);
  }

private:
  using Shard = std::unordered_map<Key, Value>;
  static constexpr std::size_t ShardCount = 256;

  std::size_t shardOf(const Key &Name) const {
    return std::hash<Key>{}(Name) % ShardCount;
  }

  Shard &writable(const Key &Name) {
    auto &Shared = this->Shards[this->shardOf(Name)];
    if (!Shared)
      Shared = std::make_shared<Shard>();
    else if (Shared.use_count() > 1)
      Shared = std::make_shared<Shard>(*Shared);
    else
      // Orders the write after the reads of a copy that was just destroyed.
      std::atomic_thread_fence(std::memory_order_acquire);
    return *Shared;
  }

  std::array<std::shared_ptr<Shard>, ShardCount> Shards;
};

} // namespace bergamothook

#endif
