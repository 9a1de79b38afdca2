/// \file
/// Short texts inside of records.

#ifndef BERGAMOTHOOK_LIBLEDGER_DETAIL_TEXT_H
#define BERGAMOTHOOK_LIBLEDGER_DETAIL_TEXT_H

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>

namespace bergamothook::detail {

/// Writes or reads at most 65,535 bytes, so that a damaged length makes no
/// large allocation.
template <typename Archive> void serializeText(Archive &Ar, std::string &Text) {
  auto Size = static_cast<std::uint16_t>(
      std::min<std::size_t>(Text.size(), UINT16_MAX));
  Ar(Size);
  Text.resize(Size);
  Ar(cereal::binary_data(Text.data(), Size));
}

} // namespace bergamothook::detail

#endif
