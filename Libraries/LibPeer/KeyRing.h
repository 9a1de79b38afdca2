/// \file
/// The keys by which hosts know one another's messages.

#ifndef BERGAMOTHOOK_LIBPEER_KEYRING_H
#define BERGAMOTHOOK_LIBPEER_KEYRING_H

#include "LibBase/Result.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamothook {

/// The first 16 bytes of an HMAC-SHA-256.
using Signature = std::array<std::uint8_t, 16>;

/// One or two keys. All of them are accepted and one signs. A key is replaced
/// without a stop in three steps, each on every host before the next: add the
/// new key, sign with it, remove the old one.
class KeyRing {
public:
  /// Reads {"signWith": ID, "keys": {"ID": "64 hexadecimal digits"}}, where an
  /// ID is a number from 0 to 255 and there are at most two keys.
  static Result<KeyRing> parse(std::string_view Text);

  std::uint8_t signingKey() const { return this->SigningKey; }
  Signature sign(std::string_view Bytes) const;

  /// PeerError::UnknownKey or PeerError::BadSignature if \p Given is not the
  /// signature of \p Bytes by the key \p Id.
  Result<void> verify(std::uint8_t Id, std::string_view Bytes,
                      const Signature &Given) const;

private:
  std::map<std::uint8_t, std::string> Keys;
  std::uint8_t SigningKey = 0;
};

} // namespace bergamothook

#endif
