/// \file
/// A set of recently applied record and request identifiers.

#ifndef BERGAMOTHOOK_LIBLEDGER_RECENTIDSET_H
#define BERGAMOTHOOK_LIBLEDGER_RECENTIDSET_H

#include "LibBase/Hash.h"

#include <cstddef>
#include <vector>

namespace bergamothook {

/// A set of identifiers in two generations. An identifier is retained for at
/// least one generation and at most two.
class RecentIdSet {
public:
  /// Adds \p Id. \returns false if the set already contains it.
  bool insert(const Hash128 &Id);
  bool contains(const Hash128 &Id) const;

  /// Drops the previous generation and starts a new one.
  void rotate();

  /// Adds \p Id to the previous generation.
  void insertIntoPrevious(const Hash128 &Id) { this->Previous.insert(Id); }

  std::size_t size() const {
    return this->Current.Count + this->Previous.Count;
  }
  std::size_t bytes() const;

  /// \returns a digest of the content that does not depend on insertion order.
  std::uint64_t digest() const;

  std::vector<Hash128> current() const { return this->Current.list(); }
  std::vector<Hash128> previous() const { return this->Previous.list(); }

private:
  /// A hash table with open addressing. Identifiers are already hashes.
  struct Table {
    bool insert(const Hash128 &Id);
    bool contains(const Hash128 &Id) const;
    std::size_t slotOf(const Hash128 &Id) const;
    void grow();
    std::vector<Hash128> list() const;

    std::vector<Hash128> Slots;
    std::size_t Count = 0;
  };

  Table Current;
  Table Previous;
};

} // namespace bergamothook

#endif
