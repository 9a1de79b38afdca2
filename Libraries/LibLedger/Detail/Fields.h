/// \file
/// Serialization of short strings and enumerations in records.

#ifndef BERGAMOTHOOK_LIBLEDGER_DETAIL_FIELDS_H
#define BERGAMOTHOOK_LIBLEDGER_DETAIL_FIELDS_H

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>
#include <type_traits>

namespace bergamothook::detail {

/// Writes or reads at most 65,535 bytes, so that a corrupted length can't cause
/// a large allocation.
template <typename Archive> void serializeText(Archive &Ar, std::string &Text) {
  auto Size = static_cast<std::uint16_t>(
      std::min<std::size_t>(Text.size(), UINT16_MAX));
  Ar(Size);
  Text.resize(Size);
  Ar(cereal::binary_data(Text.data(), Size));
}

/// Writes or reads an enumeration as its underlying type.
template <typename Archive, typename Enum>
void serializeEnum(Archive &Ar, Enum &Value) {
  auto Number = static_cast<std::underlying_type_t<Enum>>(Value);
  Ar(Number);
  Value = static_cast<Enum>(Number);
}

} // namespace bergamothook::detail

#endif
