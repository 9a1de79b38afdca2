#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "LibTask/RealRuntime.h"
#include "RawSocket.h"

#include <doctest/doctest.h>
#include <thread>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

TimePoint inTenSeconds() { return readMonotonicClock() + 10s; }

HttpCall callTo(std::uint16_t Port, const std::string &Method = "GET",
                const std::string &Path = "/") {
  HttpCall Call;
  Call.Method = Method;
  Call.Address = "127.0.0.1";
  Call.Port = Port;
  Call.Path = Path;
  return Call;
}

void echo(const HttpRequest &Request, HttpReply Reply) {
  if (Request.Path != "/stream") {
    Reply.sendResponse(200, "text/plain", Request.Method + " " + Request.Body,
                       {{"X-Query", Request.Query}});
    return;
  }
  Reply.beginStream(200, "text/event-stream");
  for (int Piece = 0; Piece < 100; ++Piece)
    Reply.write("piece " + std::to_string(Piece) + "\n");
  Reply.end();
}

struct EchoServer {
  EchoServer() : Server({}, echo) { REQUIRE(this->Server.start()); }

  HttpCall call(const std::string &Method, const std::string &Path) const {
    return callTo(this->Server.port(), Method, Path);
  }

  HttpServer Server;
};

} // namespace

TEST_CASE("a call gets its whole answer, also over a kept connection") {
  EchoServer Echo;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  for (int Round = 0; Round < 3; ++Round) {
    HttpCall Call = Echo.call("POST", "/here?a=b");
    Call.Body = std::string("\0\x01 binary", 9);
    auto Answer = Client.call(Call, inTenSeconds());
    REQUIRE(Answer);
    CHECK(Answer.value().Status == 200);
    CHECK(Answer.value().Body == "POST " + Call.Body);
    CHECK(Answer.value().Headers.at("x-query") == "a=b");
  }
  CHECK(Echo.Server.connections() == 1);
}

TEST_CASE("a stream arrives whole and marks its end") {
  EchoServer Echo;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  auto Answer = Client.call(Echo.call("GET", "/stream"), inTenSeconds());
  REQUIRE(Answer);
  std::string Expected;
  for (int Piece = 0; Piece < 100; ++Piece)
    Expected += "piece " + std::to_string(Piece) + "\n";
  CHECK(Answer.value().Body == Expected);
}

TEST_CASE("a body of ten megabytes is read piece by piece without a loss") {
  HttpServer Server({}, [](const HttpRequest &, HttpReply Reply) {
    Reply.sendResponse(200, "text/plain", std::string(10 << 20, 'x'));
  });
  REQUIRE(Server.start());
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = callTo(Server.port());
  auto Stream = Client.open(Call, inTenSeconds());
  REQUIRE(Stream);
  std::size_t Got = 0;
  for (;;) {
    auto Piece = Stream.value().next(inTenSeconds());
    REQUIRE(Piece);
    if (!Piece.value())
      break;
    Got += Piece.value()->size();
  }
  CHECK(Got == 10 << 20);
}

TEST_CASE("an answer larger than allowed is refused") {
  EchoServer Echo;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = Echo.call("GET", "/stream");
  Call.MaxResponseBytes = 10;
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::TooLarge);
}

TEST_CASE("nothing listens: the connection fails and nothing was sent") {
  std::uint16_t FreePort = RawListener().port();
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = callTo(FreePort);
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectFailed);
}

TEST_CASE("a connection that goes after the request leaves the call unknown") {
  RawListener Listener;
  std::thread Other([&] {
    RawSocket Caller = Listener.accept();
    Caller.readUntil("\r\n\r\n");
  });
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = callTo(Listener.port());
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectionLost);
  Other.join();
}

TEST_CASE("a request is not sent again when a kept connection dies") {
  RawListener Listener;
  int Requests = 0;
  std::thread Other([&] {
    RawSocket Caller = Listener.accept();
    Caller.readUntil("\r\n\r\n");
    ++Requests;
    Caller.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    // The second request reaches a connection that dies under it.
    if (!Caller.readUntil("\r\n\r\n").empty())
      ++Requests;
  });
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = callTo(Listener.port(), "POST");
  REQUIRE(Client.call(Call, inTenSeconds()));
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectionLost);
  Other.join();
  CHECK(Requests == 2);
}

TEST_CASE("a silent server ends in a timeout") {
  RawListener Listener;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = callTo(Listener.port());
  auto Answer = Client.call(Call, readMonotonicClock() + 100ms);
  CHECK(Answer.error() == HttpError::TimedOut);
}

TEST_CASE("a cut stream does not pass for a whole one") {
  HttpServer Server({}, [](const HttpRequest &, HttpReply Reply) {
    Reply.beginStream(200, "text/plain");
    Reply.write("half");
  });
  REQUIRE(Server.start());
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = callTo(Server.port());
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectionLost);
}
