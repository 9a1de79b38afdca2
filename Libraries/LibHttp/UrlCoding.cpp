#include "LibHttp/UrlCoding.h"

#include <cctype>
#include <charconv>

namespace bergamothook {

namespace {

bool isUnreserved(char Byte) {
  return std::isalnum(static_cast<unsigned char>(Byte)) != 0 || Byte == '-' ||
         Byte == '_' || Byte == '.' || Byte == '~';
}

} // namespace

std::string urlEncode(std::string_view Text) {
  static const char Digits[] = "0123456789ABCDEF";
  std::string Encoded;
  for (char Byte : Text) {
    if (isUnreserved(Byte)) {
      Encoded += Byte;
      continue;
    }
    auto Value = static_cast<unsigned char>(Byte);
    Encoded += '%';
    Encoded += Digits[Value >> 4];
    Encoded += Digits[Value & 15];
  }
  return Encoded;
}

std::string urlDecode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Value = 0;
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      const char *Digits = Text.data() + Index + 1;
      auto Parsed = std::from_chars(Digits, Digits + 2, Value, 16);
      if (Parsed.ptr == Digits + 2) {
        Decoded += static_cast<char>(Value);
        Index += 2;
        continue;
      }
    }
    Decoded += Text[Index];
  }
  return Decoded;
}

} // namespace bergamothook
