/// \file
/// A map of bounded size that forgets its oldest entries.

#ifndef BERGAMOTHOOK_LIBBASE_RECENTMAP_H
#define BERGAMOTHOOK_LIBBASE_RECENTMAP_H

#include <cstddef>
#include <unordered_map>
#include <utility>

namespace bergamothook {

/// Holds at least the \p Capacity entries that were set last, and at most twice
/// as many.
template <typename Key, typename Value> class RecentMap {
public:
  explicit RecentMap(std::size_t Capacity) : Capacity(Capacity) {}

  void set(const Key &Name, Value Content) {
    if (this->Newer.size() >= this->Capacity && !this->Newer.contains(Name)) {
      this->Older = std::move(this->Newer);
      this->Newer.clear();
    }
    this->Newer.insert_or_assign(Name, std::move(Content));
  }

  /// \returns null for an unknown key.
  const Value *find(const Key &Name) const {
    for (const auto *Half : {&this->Newer, &this->Older})
      if (auto Found = Half->find(Name); Found != Half->end())
        return &Found->second;
    return nullptr;
  }

private:
  std::size_t Capacity;
  std::unordered_map<Key, Value> Newer;
  std::unordered_map<Key, Value> Older;
};

} // namespace bergamothook

#endif
