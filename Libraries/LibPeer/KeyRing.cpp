#include "LibPeer/KeyRing.h"

#include "LibPeer/PeerError.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <optional>

namespace bergamothook {

using nlohmann::json;

namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t MaxKeys = 2;

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text, int Base) {
  Number Value = 0;
  auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  if (Text.empty() || Parsed.ec != std::errc() ||
      Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<std::string> parseKey(const json &Value) {
  if (!Value.is_string() ||
      Value.get_ref<const std::string &>().size() != 2 * KeyBytes)
    return std::nullopt;
  std::string_view Digits = Value.get_ref<const std::string &>();
  std::string Key;
  for (std::size_t At = 0; At < Digits.size(); At += 2) {
    auto Byte = parseNumber<std::uint8_t>(Digits.substr(At, 2), 16);
    if (!Byte)
      return std::nullopt;
    Key.push_back(static_cast<char>(*Byte));
  }
  return Key;
}

Signature hmac(const std::string &Key, std::string_view Bytes) {
  std::array<std::uint8_t, 32> FullDigest{};
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       FullDigest.data(), nullptr);
  Signature Truncated;
  std::copy_n(FullDigest.begin(), Truncated.size(), Truncated.begin());
  return Truncated;
}

} // namespace

Result<KeyRing> KeyRing::parse(std::string_view Text) {
  json File = json::parse(Text, nullptr, false);
  if (!File.is_object() || !File.contains("keys") ||
      !File["keys"].is_object() || !File.contains("signWith") ||
      !File["signWith"].is_number_unsigned())
    return PeerError::BadKeyFile;
  KeyRing Ring;
  for (const auto &[Name, Value] : File["keys"].items()) {
    auto Id = parseNumber<std::uint8_t>(Name, 10);
    auto Key = parseKey(Value);
    if (!Id || !Key)
      return PeerError::BadKeyFile;
    Ring.Keys[*Id] = *Key;
  }
  auto SignWith = File["signWith"].get<std::uint64_t>();
  if (Ring.Keys.size() > MaxKeys || SignWith > 255 ||
      !Ring.Keys.contains(static_cast<std::uint8_t>(SignWith)))
    return PeerError::BadKeyFile;
  Ring.SigningKeyId = static_cast<std::uint8_t>(SignWith);
  return Ring;
}

Signature KeyRing::sign(std::string_view Bytes) const {
  return hmac(this->Keys.at(this->SigningKeyId), Bytes);
}

Result<void> KeyRing::verify(std::uint8_t Id, std::string_view Bytes,
                             const Signature &Actual) const {
  auto Found = this->Keys.find(Id);
  if (Found == this->Keys.end())
    return PeerError::UnknownKey;
  Signature Expected = hmac(Found->second, Bytes);
  if (CRYPTO_memcmp(Expected.data(), Actual.data(), Expected.size()) != 0)
    return PeerError::BadSignature;
  return success();
}

} // namespace bergamothook
