#include "LibBase/Hash.h"

#include <cstdio>
#include <xxhash.h>

namespace bergamothook {

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

Hash128 hash128(std::string_view Bytes, std::uint64_t Seed) {
  XXH128_hash_t Value = XXH3_128bits_withSeed(Bytes.data(), Bytes.size(), Seed);
  return {Value.high64, Value.low64};
}

std::string toHex(std::uint64_t Value) {
  char Buffer[17];
  std::snprintf(Buffer, sizeof(Buffer), "%016llx",
                static_cast<unsigned long long>(Value));
  return Buffer;
}

std::string toHex(const Hash128 &Value) {
  return toHex(Value.High) + toHex(Value.Low);
}

} // namespace bergamothook
