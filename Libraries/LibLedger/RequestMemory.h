/// \file
/// Remembers which identifiers have counted, for a number of epochs.

#ifndef BERGAMOTHOOK_LIBLEDGER_REQUESTMEMORY_H
#define BERGAMOTHOOK_LIBLEDGER_REQUESTMEMORY_H

#include "LibBase/Hash.h"

#include <cstddef>
#include <vector>

namespace bergamothook {

/// A set of identifiers in two generations. An identifier is kept for at least
/// one generation and at most two.
class RequestMemory {
public:
  /// Adds \p Id. \returns false if it is known.
  bool insert(const Hash128 &Id);
  bool contains(const Hash128 &Id) const;

  /// Forgets the older generation and begins a new one.
  void rotate();

  /// Adds \p Id to the generation before the present one.
  void insertOlder(const Hash128 &Id) { this->Previous.insert(Id); }

  std::size_t size() const {
    return this->Current.Count + this->Previous.Count;
  }
  std::size_t bytes() const;

  /// The same for the same content, in whatever order it came.
  std::uint64_t digest() const;

  std::vector<Hash128> current() const { return this->Current.list(); }
  std::vector<Hash128> previous() const { return this->Previous.list(); }

private:
  /// A hash table with open addressing. The identifiers are hashes already.
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
