#include "LibWallet/WalletRecord.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace bergamothook {

namespace {

/// Format version in the first byte of a share; incremented when the layout
/// changes.
constexpr char ShareVersion = 1;
constexpr char KeySeparator = '\n';

} // namespace

std::string encodeWalletKey(const WalletKey &Key) {
  return Key.Team + KeySeparator + Key.Process;
}

Result<WalletKey> decodeWalletKey(std::string_view Bytes) {
  std::size_t SeparatorPosition = Bytes.find(KeySeparator);
  if (SeparatorPosition == std::string_view::npos || SeparatorPosition == 0 ||
      SeparatorPosition + 1 == Bytes.size())
    return std::make_error_code(std::errc::bad_message);
  return WalletKey{std::string(Bytes.substr(0, SeparatorPosition)),
                   std::string(Bytes.substr(SeparatorPosition + 1))};
}

std::string encodeWalletShare(const WalletShare &Share) {
  std::ostringstream Out;
  Out.put(ShareVersion);
  cereal::PortableBinaryOutputArchive Archive(Out);
  Archive(Share);
  // Readers of earlier releases ignore what follows.
  Archive(Share.Era, Share.IsWitnessed);
  return Out.str();
}

Result<WalletShare> decodeWalletShare(std::string_view Bytes) {
  if (Bytes.empty() || Bytes.front() != ShareVersion)
    return std::make_error_code(std::errc::bad_message);
  std::istringstream In(std::string(Bytes.substr(1)));
  WalletShare Share;
  try {
    cereal::PortableBinaryInputArchive Archive(In);
    Archive(Share);
    if (In.peek() != std::istringstream::traits_type::eof())
      Archive(Share.Era, Share.IsWitnessed);
  } catch (const cereal::Exception &) {
    return std::make_error_code(std::errc::bad_message);
  }
  if (Share.Held < 0 || Share.Committed < 0 || Share.UnmetDemand < 0 ||
      Share.Rate < 0)
    return std::make_error_code(std::errc::bad_message);
  return Share;
}

} // namespace bergamothook
