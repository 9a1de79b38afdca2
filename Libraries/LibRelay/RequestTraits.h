/// \file
/// What a request has in common with other requests, as far as it may be the
/// reason why targets crash.

#ifndef BERGAMOTHOOK_LIBRELAY_REQUESTTRAITS_H
#define BERGAMOTHOOK_LIBRELAY_REQUESTTRAITS_H

#include "LibBase/Hash.h"

#include <algorithm>
#include <vector>

namespace bergamothook {

/// Further parts of a prompt are not examined. Prompts have a handful.
constexpr std::size_t MaxTraitParts = 64;

struct RequestTraits {
  /// Hash of the whole request, the same for all its repetitions.
  Hash128 Content;
  /// Hashes of the parts of the prompt but the last, which belongs to this
  /// request alone. Sorted.
  std::vector<Hash128> Parts;

  bool contains(const Hash128 &Trait) const {
    return Trait == this->Content ||
           std::binary_search(this->Parts.begin(), this->Parts.end(), Trait);
  }

  /// Calls \p Visit with each trait.
  template <typename Visitor> void forEach(Visitor Visit) const {
    Visit(this->Content);
    for (const Hash128 &Part : this->Parts)
      Visit(Part);
  }
};

} // namespace bergamothook

#endif
