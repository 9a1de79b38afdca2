/// \file
/// Identifiers that the compiler keeps apart.

#ifndef BERGAMOTHOOK_LIBBASE_STRONGID_H
#define BERGAMOTHOOK_LIBBASE_STRONGID_H

#include <compare>
#include <cstdint>
#include <functional>

namespace bergamothook {

/// An identifier of one kind of object. \p Tag tells the kinds apart and is
/// never defined.
template <typename Tag, typename Rep = std::uint64_t> struct StrongId {
  Rep Value{};

  auto operator<=>(const StrongId &) const = default;

  /// Lets cereal write the bare number.
  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Value); }
};

} // namespace bergamothook

template <typename Tag, typename Rep>
struct std::hash<bergamothook::StrongId<Tag, Rep>> {
  std::size_t
  operator()(const bergamothook::StrongId<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>{}(Id.Value);
  }
};

#endif
