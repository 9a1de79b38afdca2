/// \file
/// Strongly typed identifiers.

#ifndef BERGAMOTHOOK_LIBBASE_STRONGID_H
#define BERGAMOTHOOK_LIBBASE_STRONGID_H

#include <compare>
#include <cstdint>
#include <functional>

namespace bergamothook {

/// An identifier of one kind of object. \p Tag distinguishes the kinds at
/// compile time and is never defined.
template <typename Tag, typename Rep = std::uint64_t> struct StrongId {
  Rep Value{};

  auto operator<=>(const StrongId &) const = default;

  /// Serializes the bare number with cereal.
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
