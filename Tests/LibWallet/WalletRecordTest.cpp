#include "LibWallet/WalletRecord.h"

#include <doctest/doctest.h>

using namespace bergamothook;

TEST_CASE("a wallet record round-trips through its encoding") {
  WalletKey Key{"team-a", "host-1#77"};
  auto ReadKey = decodeWalletKey(encodeWalletKey(Key));
  REQUIRE(ReadKey);
  CHECK(ReadKey.value() == Key);
  WalletShare Share{5'000'000'000, 17, 3, 90};
  auto ReadShare = decodeWalletShare(encodeWalletShare(Share));
  REQUIRE(ReadShare);
  CHECK(ReadShare.value() == Share);
}

TEST_CASE("malformed wallet records are rejected") {
  CHECK_FALSE(decodeWalletKey(""));
  CHECK_FALSE(decodeWalletKey("team-a"));
  CHECK_FALSE(decodeWalletKey("\nhost"));
  CHECK_FALSE(decodeWalletKey("team-a\n"));
  CHECK_FALSE(decodeWalletShare(""));
  CHECK_FALSE(decodeWalletShare("\x02xxxxxxxxxxxxxxxxxx"));
  std::string Share = encodeWalletShare({1, 1, 1, 1});
  CHECK_FALSE(decodeWalletShare(Share.substr(0, Share.size() - 1)));
  CHECK_FALSE(decodeWalletShare(encodeWalletShare({-1, 0, 0, 0})));
}
