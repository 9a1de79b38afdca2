/// \file
/// SHA-256 hashes, which identify tokens without storing them.

#ifndef BERGAMOTHOOK_LIBCONFIG_SHA256_H
#define BERGAMOTHOOK_LIBCONFIG_SHA256_H

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bergamothook {

/// The SHA-256 hash of some bytes.
struct Sha256 {
  static constexpr std::size_t Size = 32;

  std::array<std::uint8_t, Size> Bytes{};

  auto operator<=>(const Sha256 &) const = default;
};

Sha256 sha256(std::string_view Bytes);

/// Formats \p Value as 64 lower-case hexadecimal digits.
std::string toHex(const Sha256 &Value);

/// Parses 64 hexadecimal digits in either case.
std::optional<Sha256> sha256FromHex(std::string_view Text);

} // namespace bergamothook

template <> struct std::hash<bergamothook::Sha256> {
  std::size_t operator()(const bergamothook::Sha256 &Value) const noexcept {
    std::size_t First = 0;
    std::memcpy(&First, Value.Bytes.data(), sizeof(First));
    return First;
  }
};

#endif
