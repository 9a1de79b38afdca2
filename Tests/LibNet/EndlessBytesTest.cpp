#include "ConnectionPair.h"
#include "LargestAllocation.h"

#include <cstdlib>
#include <rapidcheck.h>

using namespace bergamothook;

namespace {

constexpr unsigned Cases = 60;
/// What a connection and its parser need whatever is received.
constexpr std::size_t FixedBytes = 256 * 1024;
/// A string that grows holds up to twice its content.
constexpr std::size_t Growth = 2;

template <typename Property> void checkHolds(const Property &Holds) {
  setenv("RC_PARAMS", ("seed=1 max_success=" + std::to_string(Cases)).c_str(),
         1);
  CHECK(rc::check(Holds));
}

/// The framing of a body of which only the first bytes are ever sent.
rc::Gen<std::string> oddFraming() {
  auto Length =
      rc::gen::oneOf(rc::gen::inRange<std::uint64_t>(0, 100'000),
                     rc::gen::inRange<std::uint64_t>(1ULL << 30, 1ULL << 40),
                     rc::gen::arbitrary<std::uint64_t>());
  return rc::gen::oneOf(
      rc::gen::map(Length,
                   [](std::uint64_t Bytes) {
                     return "Content-Length: " + std::to_string(Bytes) +
                            "\r\n\r\n";
                   }),
      rc::gen::map(Length,
                   [](std::uint64_t Bytes) {
                     char Digits[32];
                     std::snprintf(Digits, sizeof(Digits), "%llx",
                                   static_cast<unsigned long long>(Bytes));
                     return "Transfer-Encoding: chunked\r\n\r\n" +
                            std::string(Digits) + "\r\n";
                   }),
      rc::gen::map(rc::gen::inRange<std::size_t>(0, 100'000),
                   [](std::size_t Bytes) {
                     return "Transfer-Encoding: chunked\r\n\r\n1;x=" +
                            std::string(Bytes, 'y');
                   }),
      rc::gen::map(rc::gen::inRange<std::size_t>(0, 100'000),
                   [](std::size_t Bytes) {
                     return "Transfer-Encoding: chunked\r\n\r\n0\r\nT: " +
                            std::string(Bytes, 'y');
                   }),
      rc::gen::just<std::string>("\r\n"),
      rc::gen::map(
          rc::gen::inRange<std::size_t>(0, 100'000),
          [](std::size_t Bytes) { return "X: " + std::string(Bytes, 'y'); }));
}

rc::Gen<std::string> oddBody() {
  return rc::gen::map(
      rc::gen::inRange<std::size_t>(0, 300'000),
      [](std::size_t Bytes) { return std::string(Bytes, 'z'); });
}

} // namespace

// Guards against the process that ended with std::bad_alloc since it reserved
// the length that a head stated (review/1).
TEST_CASE("the memory for a response follows the bytes that were received, not "
          "the length that its head states") {
  checkHolds([] {
    std::string Bytes = "HTTP/1.1 200 OK\r\n" + *oddFraming() + *oddBody();
    ConnectionPair Connections;
    resetLargestAllocation();
    auto Answer = Connections.readAnswer(Bytes);
    RC_ASSERT(largestAllocation() <= FixedBytes + Growth * Bytes.size());
    RC_ASSERT(Answer.Failure != NetError::OutOfMemory);
  });
}

// Guards against the same in the reader of callers' requests.
TEST_CASE("the memory for a request follows the bytes that were received, not "
          "the length that its head states") {
  checkHolds([] {
    std::string Bytes =
        "POST / HTTP/1.1\r\nHost: a\r\n" + *oddFraming() + "xyz";
    ConnectionPair Connections;
    resetLargestAllocation();
    HttpReadLimits Unlimited;
    Unlimited.MaxBodyBytes = 1ULL << 40;
    (void)Connections.readPartialRequest(Bytes, Unlimited);
    RC_ASSERT(largestAllocation() <= FixedBytes + Growth * Bytes.size());
  });
}
