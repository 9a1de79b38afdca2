/// \file
/// The keys that authenticate messages between hosts.

#ifndef BERGAMOTHOOK_LIBPEER_KEYRING_H
#define BERGAMOTHOOK_LIBPEER_KEYRING_H

#include "LibBase/Result.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bergamothook {

/// An HMAC-SHA-256, truncated to its first 16 bytes.
using Signature = std::array<std::uint8_t, 16>;

/// One or two keys. Signatures by any of them are accepted, and one of them
/// signs. Keys are rotated without downtime in three steps, each of which must
/// be complete on all hosts before the next: add the new key, sign with it,
/// remove the old key.
class KeyRing {
public:
  /// Parses {"signWith": ID, "keys": {"ID": "64 hexadecimal digits"}}, where an
  /// ID is a number from 0 to 255 and there are at most two keys.
  static Result<KeyRing> parse(std::string_view Text);

  std::uint8_t signingKeyId() const { return this->SigningKeyId; }
  Signature sign(std::string_view Bytes) const;

  /// Fails with PeerError::UnknownKey if there is no key \p Id, and with
  /// PeerError::BadSignature if \p Actual is not its signature of \p Bytes.
  Result<void> verify(std::uint8_t Id, std::string_view Bytes,
                      const Signature &Actual) const;

private:
  std::map<std::uint8_t, std::string> Keys;
  std::uint8_t SigningKeyId = 0;
};

} // namespace bergamothook

#endif
