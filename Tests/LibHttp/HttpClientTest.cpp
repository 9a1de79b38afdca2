#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "LibTask/RealRuntime.h"
#include "RawServer.h"

#include <doctest/doctest.h>
#include <thread>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

TimePoint inTenSeconds() { return readMonotonicClock() + 10s; }

HttpCall makeCall(std::uint16_t Port, const std::string &Method = "GET",
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
  for (int Chunk = 0; Chunk < 100; ++Chunk)
    Reply.write("piece " + std::to_string(Chunk) + "\n");
  Reply.end();
}

struct EchoServer {
  EchoServer() : Server({}, echo) { REQUIRE(this->Server.start()); }

  HttpCall call(const std::string &Method, const std::string &Path) const {
    return makeCall(this->Server.port(), Method, Path);
  }

  HttpServer Server;
};

} // namespace

TEST_CASE("a call gets the complete response, also over a reused connection") {
  EchoServer Echo;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  for (int Round = 0; Round < 3; ++Round) {
    HttpCall Call = Echo.call("POST", "/here?a=b");
    Call.Body = std::string("\0\x01 binary", 9);
    auto Response = Client.call(Call, inTenSeconds());
    REQUIRE(Response);
    CHECK(Response.value().Status == 200);
    CHECK(Response.value().Body == "POST " + Call.Body);
    CHECK(Response.value().Headers.at("x-query") == "a=b");
  }
  CHECK(Echo.Server.connections() == 1);
}

TEST_CASE("a streamed body is received up to its end marker") {
  EchoServer Echo;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  auto Response = Client.call(Echo.call("GET", "/stream"), inTenSeconds());
  REQUIRE(Response);
  std::string Expected;
  for (int Chunk = 0; Chunk < 100; ++Chunk)
    Expected += "piece " + std::to_string(Chunk) + "\n";
  CHECK(Response.value().Body == Expected);
}

TEST_CASE("a body of ten megabytes is read incrementally without loss") {
  HttpServer Server({}, [](const HttpRequest &, HttpReply Reply) {
    Reply.sendResponse(200, "text/plain", std::string(10 << 20, 'x'));
  });
  REQUIRE(Server.start());
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = makeCall(Server.port());
  auto Stream = Client.open(Call, inTenSeconds());
  REQUIRE(Stream);
  std::size_t ReceivedBytes = 0;
  for (;;) {
    auto Chunk = Stream.value().next(inTenSeconds());
    REQUIRE(Chunk);
    if (!Chunk.value())
      break;
    ReceivedBytes += Chunk.value()->size();
  }
  CHECK(ReceivedBytes == 10 << 20);
}

TEST_CASE("a response above the size limit is an error") {
  EchoServer Echo;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = Echo.call("GET", "/stream");
  Call.MaxResponseBytes = 10;
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::TooLarge);
}

TEST_CASE("a call to a closed port fails to connect and sends nothing") {
  std::uint16_t FreePort = RawListener().port();
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = makeCall(FreePort);
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectFailed);
}

TEST_CASE("a connection closed after the request leaves the outcome unknown") {
  RawListener Listener;
  std::thread ServerThread([&] {
    RawSocket Connection = Listener.accept();
    Connection.readUntil("\r\n\r\n");
  });
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = makeCall(Listener.port());
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectionLost);
  ServerThread.join();
}

TEST_CASE("a request is not resent when a reused connection dies") {
  RawListener Listener;
  int Requests = 0;
  std::thread ServerThread([&] {
    RawSocket Connection = Listener.accept();
    Connection.readUntil("\r\n\r\n");
    ++Requests;
    Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    // The connection closes upon the second request.
    if (!Connection.readUntil("\r\n\r\n").empty())
      ++Requests;
  });
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = makeCall(Listener.port(), "POST");
  REQUIRE(Client.call(Call, inTenSeconds()));
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectionLost);
  ServerThread.join();
  CHECK(Requests == 2);
}

TEST_CASE("a call to a server that does not respond times out") {
  RawListener Listener;
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = makeCall(Listener.port());
  auto Response = Client.call(Call, readMonotonicClock() + 100ms);
  CHECK(Response.error() == HttpError::TimedOut);
}

TEST_CASE("a truncated stream is not taken for a complete one") {
  HttpServer Server({}, [](const HttpRequest &, HttpReply Reply) {
    Reply.beginStream(200, "text/plain");
    Reply.write("half");
  });
  REQUIRE(Server.start());
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = makeCall(Server.port());
  CHECK(Client.call(Call, inTenSeconds()).error() == HttpError::ConnectionLost);
}

namespace {

/// Sends \p Body to a server that answers with \p Response.
Result<HttpResponse> callRaw(const RawResponse &Response,
                             const std::string &Body = {}) {
  RawServer Server([&](const std::string &) { return Response; });
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  HttpCall Call = makeCall(Server.port(), "POST");
  Call.Body = Body;
  return Client.call(Call, inTenSeconds());
}

void checkBad(const std::string &Bytes) {
  CAPTURE(Bytes);
  auto Response = callRaw({Bytes});
  CHECK((!Response && Response.error() == HttpError::BadAnswer));
}

const std::string Success = "HTTP/1.1 200 OK\r\n";
const std::string Framing = "Content-Length: 3\r\n\r\nabc";

} // namespace

TEST_CASE("an answer whose status is none of a final response is not valid") {
  for (const char *Code : {"000", "001", "099", "600", "999"})
    checkBad("HTTP/1.1 " + std::string(Code) + " Text\r\n" + Framing);
  checkBad("HTTP/1.1 101 Text\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" +
           Success + Framing);
  checkBad("HTTP/1.1 101 Text\r\n\r\n" + Success + Framing);
}

TEST_CASE("an answer with a line that no head may hold is not valid") {
  std::vector<std::string> Lines = {
      "Na me: 1",
      "Name : 1",
      "Na\tme: 1",
      "Na\x01me: 1",
      "\x7fName: 1",
      "Na\xe4me: 1",
      ": 1",
      "Name",
      "Name: a\x01",
      "Name: a\x7f",
      "Name: a\rb",
      "Name: a\nOther: b",
      "Content-Length : 1",
      "Transfer-Encoding : chunked",
      "Content-Length: 3\r\nContent-Length: 4",
      "Transfer-Encoding: chunked\r\nContent-Length: 3",
      "HTTP/1.1 200 OK",
      "First: 1\r\n folded: 2",
      std::string("Na\0me: 1", 8),
      std::string("Name: a\0b", 9)};
  for (const std::string &Line : Lines)
    checkBad(Success + "First: 1\r\n" + Line + "\r\n" + Framing);
  for (const char *Line : {"HTTP/1.1 200 O\x01K", "HTTP/1.1 2000 OK",
                           "HTTP/1.1 20 OK", "HTTP/1.2 200 OK", "ICY 200 OK"})
    checkBad(std::string(Line) + "\r\n" + Framing);
}

TEST_CASE("a field of the trailer does not become one of the head") {
  RawServer Server([](const std::string &) -> RawResponse {
    return {Success + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
                      "Late: 1\r\n\r\n"};
  });
  RealRuntime Real;
  HttpClient Client(Real.hooks());
  auto Stream = Client.open(makeCall(Server.port()), inTenSeconds());
  REQUIRE(Stream);
  for (;;) {
    auto Chunk = Stream.value().next(inTenSeconds());
    REQUIRE(Chunk);
    if (!Chunk.value())
      break;
  }
  CHECK(Stream.value().headers().count("late") == 0);
}

TEST_CASE("a trailer is read by the rules of a head") {
  const std::string Start = Success + "Transfer-Encoding: chunked\r\n\r\n"
                                      "3\r\nabc\r\n0\r\n";
  CHECK(callRaw({Start + "Late: 1\r\n\r\n"}));
  for (const char *Line : {"La te: 1", "Late : 1", "Late: \x01"})
    checkBad(Start + Line + "\r\n\r\n");
}

TEST_CASE("rare answers that are sound are read") {
  for (const char *Line :
       {"HTTP/1.1 599 Text", "HTTP/1.1 418 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
        "HTTP/1.1 200 \xe4\t\x80",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK"}) {
    CAPTURE(Line);
    auto Response = callRaw(
        {std::string(Line) + "\r\nEmpty:\r\nHigh: \xe4\xff\r\n" + Framing});
    REQUIRE(Response);
    CHECK(Response.value().Body == "abc");
    CHECK(Response.value().Headers.at("empty").empty());
    CHECK(Response.value().Headers.at("high") == "\xe4\xff");
  }
}

namespace {

/// Beyond what the kernel of a RawServer receives ahead, and beyond what the
/// client's kernel takes too.
constexpr std::size_t LongBytes = 250'000;
constexpr std::size_t VeryLongBytes = 8'000'000;

} // namespace

TEST_CASE("an answer that the end of its connection delimits is not complete "
          "if the connection ends before the request was sent") {
  for (std::size_t UploadBytes : {LongBytes, VeryLongBytes})
    for (std::size_t ReadBytes : {std::size_t{0}, UploadBytes / 2})
      for (ServerEnd End :
           {ServerEnd::Close, ServerEnd::Reset, ServerEnd::HalfClose,
            ServerEnd::HalfCloseThenReset}) {
        CAPTURE(UploadBytes);
        CAPTURE(ReadBytes);
        CAPTURE(static_cast<int>(End));
        auto Response = callRaw({Success + "\r\npart", ReadBytes, End},
                                std::string(UploadBytes, 'x'));
        CHECK((!Response && Response.error() == HttpError::ConnectionLost));
      }
}

TEST_CASE("an answer that the end of its connection delimits is complete if "
          "the request was read and the connection was closed in order") {
  for (std::size_t UploadBytes :
       {std::size_t{0}, std::size_t{100}, LongBytes, VeryLongBytes}) {
    CAPTURE(UploadBytes);
    const std::string Upload(UploadBytes, 'x');
    for (ServerEnd End : {ServerEnd::Close, ServerEnd::HalfClose}) {
      auto Response = callRaw({Success + "\r\npart", UploadBytes, End}, Upload);
      REQUIRE(Response);
      CHECK(Response.value().Body == "part");
    }
    CHECK_FALSE(
        callRaw({Success + "\r\npart", UploadBytes, ServerEnd::Reset}, Upload));
  }
}

namespace {

/// Plays a refusal with a length by a server that does not read the body.
void checkRefusalRead(ServerEnd End) {
  for (std::size_t UploadBytes : {LongBytes, VeryLongBytes}) {
    CAPTURE(UploadBytes);
    CAPTURE(static_cast<int>(End));
    auto Response = callRaw({"HTTP/1.1 413 Text\r\n" + Framing, 0, End},
                            std::string(UploadBytes, 'x'));
    REQUIRE(Response);
    CHECK(Response.value().Status == 413);
    CHECK(Response.value().Body == "abc");
  }
}

} // namespace

TEST_CASE("a refusal with a length is read though its server reads only a part "
          "of the request") {
  checkRefusalRead(ServerEnd::HalfClose);
}

TEST_CASE("a refusal with a length is read though a reset follows it at once") {
  checkRefusalRead(ServerEnd::Close);
  checkRefusalRead(ServerEnd::Reset);
}
