#include "platform/StoreRecords.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace bergamothook::platform;

namespace {

std::string bigEndian(std::uint64_t Value) {
  std::string Out;
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>(Value >> Shift));
  return Out;
}

} // namespace

TEST_CASE("framed records are parsed back") {
  std::string Bytes = bigEndian(842) + bigEndian(7) + frameRecord("ab") +
                      frameRecord("") + frameRecord(std::string(300, 'x'));
  auto Page = parseRecordPage(Bytes, 839);
  REQUIRE(Page);
  CHECK(Page.value().End == 842);
  CHECK(Page.value().FirstRetained == 7);
  CHECK(Page.value().Records ==
        std::vector<std::string>{"ab", "", std::string(300, 'x')});
  // A truncated record is left for the next read.
  auto Cut = parseRecordPage(Bytes.substr(0, Bytes.size() - 1), 839);
  REQUIRE(Cut);
  CHECK(Cut.value().Records.size() == 2);
  CHECK_FALSE(parseRecordPage("short", 0));
}

TEST_CASE("keyed records have a key and a value or a deletion") {
  auto Read = decodeKeyed(encodeKeyed("config", "{}"), 4);
  REQUIRE(Read);
  CHECK(Read.value() == KeyedRecord{"config", "{}", 4});
  auto Dropped = decodeKeyed(encodeKeyed("config", ""), 5);
  REQUIRE(Dropped);
  CHECK(Dropped.value() == KeyedRecord{"config", std::nullopt, 5});
  CHECK_FALSE(decodeKeyed("", 0));
  CHECK_FALSE(decodeKeyed("\x09short", 0));
}

TEST_CASE("base64 is decoded with its padding") {
  CHECK(decodeBase64("").value() == "");
  CHECK(decodeBase64("aGVsbG8=").value() == "hello");
  CHECK(decodeBase64("aGVsbA==").value() == "hell");
  CHECK(decodeBase64("aGVs").value() == "hel");
  CHECK_FALSE(decodeBase64("a"));
  CHECK_FALSE(decodeBase64("%%%%"));
}
