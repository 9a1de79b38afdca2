/// \file
/// Non-cryptographic hashes. The same input has the same hash on every host
/// and in every release, because identifiers are derived from the hashes.

#ifndef BERGAMOTHOOK_LIBBASE_HASH_H
#define BERGAMOTHOOK_LIBBASE_HASH_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace bergamothook {

/// A 128-bit hash, wide enough that accidental collisions can be ignored.
struct Hash128 {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const Hash128 &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->High, this->Low);
  }
};

/// Hashes \p Bytes to 64 bits with XXH3.
std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0);

/// Hashes \p Bytes to 128 bits with XXH3.
Hash128 hash128(std::string_view Bytes, std::uint64_t Seed = 0);

/// Formats \p Value as 32 hexadecimal digits.
std::string toHex(const Hash128 &Value);

/// Formats \p Value as 16 hexadecimal digits.
std::string toHex(std::uint64_t Value);

} // namespace bergamothook

template <> struct std::hash<bergamothook::Hash128> {
  std::size_t operator()(const bergamothook::Hash128 &Value) const noexcept {
    return Value.High ^ Value.Low;
  }
};

#endif
