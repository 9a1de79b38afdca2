#include "LibConfig/Sha256.h"

#include <openssl/evp.h>

namespace bergamothook {

namespace {

std::optional<std::uint8_t> digitOf(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  if (Character >= 'A' && Character <= 'F')
    return Character - 'A' + 10;
  return std::nullopt;
}

} // namespace

Sha256 sha256(std::string_view Bytes) {
  Sha256 Value;
  EVP_Digest(Bytes.data(), Bytes.size(), Value.Bytes.data(), nullptr,
             EVP_sha256(), nullptr);
  return Value;
}

std::string toHex(const Sha256 &Value) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Sha256::Size);
  for (std::uint8_t Byte : Value.Bytes) {
    Text.push_back(Digits[Byte >> 4]);
    Text.push_back(Digits[Byte & 15]);
  }
  return Text;
}

std::optional<Sha256> sha256FromHex(std::string_view Text) {
  if (Text.size() != 2 * Sha256::Size)
    return std::nullopt;
  Sha256 Value;
  for (std::size_t Index = 0; Index < Sha256::Size; ++Index) {
    auto High = digitOf(Text[2 * Index]);
    auto Low = digitOf(Text[2 * Index + 1]);
    if (!High || !Low)
      return std::nullopt;
    Value.Bytes[Index] = *High << 4 | *Low;
  }
  return Value;
}

} // namespace bergamothook
