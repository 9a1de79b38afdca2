/// \file
/// Guards against broken answers of targets that reach the callers of a relay.

#include "../LibHttp/RawServer.h"
#include "../MisbehavingClients/RelayProcess.h"
#include "platform/WireNames.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;
namespace wire = platform::wire;

namespace {

/// Beyond what the kernel of a RawServer receives ahead.
constexpr std::size_t LongBodyBytes = 250'000;

/// \returns the status of the answer to a call whose target answers with \p
/// StatusLine, \p Fields and a body, and ends its connection with \p End.
unsigned playCall(const std::string &StatusLine, const std::string &Fields,
                  std::size_t UploadBytes = 0,
                  ServerEnd End = ServerEnd::Close) {
  const std::string IdField(wire::AttemptId);
  RawServer Target([&](const std::string &Request) -> RawResponse {
    return {StatusLine + IdField + ": " + rawFieldOf(Request, IdField) +
                "\r\n" + std::string(wire::ServerStamp) + ": 1\r\n" + Fields +
                "\r\npart",
            0, End};
  });
  RelayProcess Relay({{"order", Target.address()}});
  Relay.start();
  std::string Request =
      "POST /order/ HTTP/1.1\r\nHost: " + std::string(RelayProcess::RouteHost) +
      "\r\n" + IdField + ": call-1\r\nConnection: close\r\n" +
      "Content-Length: " + std::to_string(UploadBytes) + "\r\n\r\n" +
      std::string(UploadBytes, 'x');
  return requestOnce(Relay.ip(), RelayProcess::FrontPort, Request, 10s);
}

const std::string Success = "HTTP/1.1 200 OK\r\n";
const std::string Length = "Content-Length: 4\r\n";

} // namespace

TEST_CASE("a sound answer of a target reaches the caller of a relay") {
  CHECK(playCall(Success, Length) == 200);
}

TEST_CASE("an answer with status 000 does not reach the caller of a relay") {
  CHECK(playCall("HTTP/1.1 000 Text\r\n", Length) == 502);
}

TEST_CASE("an answer in which the name of a field holds a blank or a control "
          "byte does not reach the caller of a relay") {
  CHECK(playCall(Success, Length + "Na me: 1\r\n") == 502);
  CHECK(playCall(Success, Length + "Na\x01me: 1\r\n") == 502);
}

TEST_CASE("a part of an answer without a length does not reach the caller of a "
          "relay as a whole one if its connection ends in the upload") {
  for (ServerEnd End : {ServerEnd::Reset, ServerEnd::HalfClose,
                        ServerEnd::HalfCloseThenReset}) {
    CAPTURE(static_cast<int>(End));
    CHECK(playCall(Success, "", LongBodyBytes, End) == 502);
  }
}
