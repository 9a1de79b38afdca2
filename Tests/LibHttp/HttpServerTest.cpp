#include "LibHttp/HttpServer.h"
#include "LibBase/Random.h"
#include "RawSocket.h"

#include <doctest/doctest.h>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const std::string Ping = "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n";

void pong(const HttpRequest &Request, HttpReply Reply) {
  Reply.sendResponse(200, "text/plain", "pong " + Request.Body);
}

struct ServerFixture {
  explicit ServerFixture(HttpServerLimits Limits = {},
                         HttpServer::Handler Handler = pong)
      : Server(std::move(Limits), std::move(Handler)) {
    REQUIRE(this->Server.start());
  }

  RawSocket connect() const { return RawSocket(this->Server.port()); }

  /// Sends \p Bytes over a new connection and reads until it is closed.
  std::string exchange(const std::string &Bytes) const {
    RawSocket Client = this->connect();
    Client.send(Bytes);
    return Client.readToEnd();
  }

  bool serves() const {
    RawSocket Client = this->connect();
    Client.send(Ping);
    return Client.readUntil("pong").find("200 OK") != std::string::npos;
  }

  HttpServer Server;
};

bool hasStatus(const std::string &Response, int Status) {
  return Response.rfind("HTTP/1.1 " + std::to_string(Status), 0) == 0;
}

/// Stores the reply handle of the last request for the test to respond to.
struct CapturedReply {
  HttpServer::Handler handler() {
    return [this](const HttpRequest &, const HttpReply &Reply) {
      std::lock_guard Guard(this->Lock);
      this->Reply = Reply;
    };
  }

  bool hasReply() {
    std::lock_guard Guard(this->Lock);
    return this->Reply.has_value();
  }

  std::mutex Lock;
  std::optional<HttpReply> Reply;
};

/// Waits up to ten seconds until \p Condition holds.
bool waitFor(const std::function<bool()> &Condition) {
  TimePoint Deadline = readMonotonicClock() + 10s;
  while (!Condition() && readMonotonicClock() < Deadline)
    std::this_thread::yield();
  return Condition();
}

} // namespace

TEST_CASE("a malformed request gets an error with the outcome not_run") {
  ServerFixture Fixture;
  for (const char *Bytes : {
           "NONSENSE\r\n\r\n",
           "GET / HTTP/9.9\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: none\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
           // Content-Length and chunked; the two literals are one request.
           ("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
       }) {
    CAPTURE(std::string(Bytes));
    std::string Response = Fixture.exchange(Bytes);
    CHECK(Response.rfind("HTTP/1.1 4", 0) == 0);
    CHECK(Response.find("\"outcome\":\"not_run\"") != std::string::npos);
  }
  CHECK(Fixture.serves());
}

TEST_CASE("headers above the size limit are rejected") {
  ServerFixture Fixture;
  std::string Large = "GET / HTTP/1.1\r\nX: " + std::string(64 << 10, 'x');
  CHECK(hasStatus(Fixture.exchange(Large), 431));
  CHECK(Fixture.serves());
}

TEST_CASE("a body of ten megabytes is rejected before it is sent") {
  ServerFixture Fixture;
  std::string Request = "POST / HTTP/1.1\r\nContent-Length: 10485760\r\n\r\nx";
  CHECK(hasStatus(Fixture.exchange(Request), 413));
  CHECK(Fixture.serves());
}

TEST_CASE("a chunked body above the size limit is rejected") {
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = 100000;
  ServerFixture Fixture(Limits);
  std::string Chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
  std::string Bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int Count = 0; Count < 8; ++Count)
    Bytes += Chunk;
  CHECK(hasStatus(Fixture.exchange(Bytes), 413));
  CHECK(Fixture.serves());
}

TEST_CASE("a chunked body below the size limit is received") {
  ServerFixture Fixture;
  RawSocket Client = Fixture.connect();
  Client.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(Client.readUntil("abcde").find("pong abcde") != std::string::npos);
}

TEST_CASE("a request with Expect: 100-continue gets status 100") {
  ServerFixture Fixture;
  RawSocket Client = Fixture.connect();
  Client.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  CHECK(hasStatus(Client.readUntil("\r\n\r\n"), 100));
  Client.send("ok");
  CHECK(hasStatus(Client.readUntil("pong ok"), 200));
}

TEST_CASE("an incomplete request is rejected after its timeout") {
  HttpServerLimits Limits;
  Limits.HeaderTimeout = 20ms;
  Limits.BodyTimeout = 20ms;
  ServerFixture Fixture(Limits);
  CHECK(hasStatus(Fixture.exchange("GET / HT"), 408));
  CHECK(hasStatus(Fixture.exchange("GET / HTTP/1.1\r\nX: "), 408));
  CHECK(hasStatus(
      Fixture.exchange("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"),
      408));
  CHECK(Fixture.serves());
}

TEST_CASE("an idle connection is closed without a response") {
  HttpServerLimits Limits;
  Limits.IdleTimeout = 20ms;
  ServerFixture Fixture(Limits);
  CHECK(Fixture.exchange("").empty());
}

TEST_CASE("the server responds while thousands of connections are idle") {
  constexpr std::size_t Idle = 2000;
  ServerFixture Fixture;
  std::vector<RawSocket> Clients;
  for (std::size_t Count = 0; Count < Idle; ++Count)
    Clients.push_back(Fixture.connect());
  CHECK(waitFor([&] { return Fixture.Server.connections() == Idle; }));
  CHECK(Fixture.serves());
  Clients.clear();
  CHECK(waitFor([&] { return Fixture.Server.connections() == 0; }));
}

TEST_CASE("connections above the limit are closed until another one ends") {
  HttpServerLimits Limits;
  Limits.MaxConnections = 1;
  ServerFixture Fixture(Limits);
  {
    RawSocket First = Fixture.connect();
    First.send(Ping);
    CHECK(hasStatus(First.readUntil("pong"), 200));
    CHECK(Fixture.exchange(Ping).empty());
  }
  CHECK(waitFor([&] { return Fixture.Server.connections() == 0; }));
  CHECK(Fixture.serves());
}

TEST_CASE("requests above the limit are rejected with Retry-After") {
  std::mutex Lock;
  std::vector<HttpReply> Captured;
  HttpServerLimits Limits;
  Limits.MaxRequests = 1;
  ServerFixture Fixture(Limits, [&](const HttpRequest &, HttpReply Reply) {
    std::lock_guard Guard(Lock);
    Captured.push_back(Reply);
  });
  RawSocket First = Fixture.connect();
  First.send(Ping);
  CHECK(waitFor([&] { return Fixture.Server.activeRequests() == 1; }));
  RawSocket Second = Fixture.connect();
  Second.send(Ping);
  std::string Response = Second.readUntil("}");
  CHECK(hasStatus(Response, 503));
  CHECK(Response.find("Retry-After: 1") != std::string::npos);
  std::lock_guard Guard(Lock);
  Captured.clear();
}

TEST_CASE(
    "a client that reads nothing is disconnected once its queue is full") {
  HttpServerLimits Limits;
  Limits.MaxUnsentBytes = 256 << 10;
  CapturedReply Captured;
  ServerFixture Fixture(Limits, Captured.handler());
  RawSocket Client = Fixture.connect();
  Client.send(Ping);
  REQUIRE(waitFor([&] { return Captured.hasReply(); }));
  std::lock_guard Guard(Captured.Lock);
  Captured.Reply->beginStream(200, "text/plain");
  std::string Chunk(64 << 10, 'x');
  // The kernel's socket buffers hold some megabytes before the queue grows.
  constexpr int MaxChunks = 1000;
  int Written = 0;
  while (Written < MaxChunks && Captured.Reply->write(Chunk))
    ++Written;
  CHECK(Written < MaxChunks);
  CHECK(waitFor([&] { return Captured.Reply->isClientDisconnected(); }));
  Captured.Reply.reset();
}

TEST_CASE("a client that disconnects is detected") {
  CapturedReply Captured;
  ServerFixture Fixture({}, Captured.handler());
  {
    RawSocket Client = Fixture.connect();
    Client.send(Ping);
    REQUIRE(waitFor([&] { return Captured.hasReply(); }));
  }
  std::lock_guard Guard(Captured.Lock);
  CHECK(waitFor([&] { return Captured.Reply->isClientDisconnected(); }));
  Captured.Reply->beginStream(200, "text/plain");
  CHECK_FALSE(Captured.Reply->write("late"));
  Captured.Reply.reset();
}

TEST_CASE("a request whose handler drops the reply gets status 500") {
  ServerFixture Fixture({}, [](const HttpRequest &, const HttpReply &) {});
  RawSocket Client = Fixture.connect();
  Client.send(Ping);
  CHECK(hasStatus(Client.readUntil("no answer"), 500));
}

TEST_CASE("pipelined input closes the connection after the current request") {
  CapturedReply Captured;
  ServerFixture Fixture({}, Captured.handler());
  RawSocket Client = Fixture.connect();
  Client.send(Ping);
  REQUIRE(waitFor([&] { return Captured.hasReply(); }));
  Client.send(Ping);
  {
    std::lock_guard Guard(Captured.Lock);
    Captured.Reply->sendResponse(200, "text/plain", "pong");
  }
  std::string Response = Client.readUntil("pong");
  CHECK(hasStatus(Response, 200));
  Captured.Reply.reset();
}

TEST_CASE("an HTTP/1.0 client gets a stream unchunked with Content-Length") {
  ServerFixture Fixture({}, [](const HttpRequest &, HttpReply Reply) {
    Reply.beginStream(200, "text/plain");
    Reply.write("one ");
    Reply.write("two");
    Reply.end();
  });
  std::string Response = Fixture.exchange("GET / HTTP/1.0\r\n\r\n");
  CHECK(Response.find("Content-Length: 7") != std::string::npos);
  CHECK(Response.find("\r\n\r\none two") != std::string::npos);
}

TEST_CASE("randomly corrupted requests do not stop the server") {
  constexpr std::uint64_t Seed = 7;
  constexpr int Rounds = 400;
  Random Rng(Seed);
  HttpServerLimits Limits;
  Limits.HeaderTimeout = 100ms;
  Limits.BodyTimeout = 100ms;
  ServerFixture Fixture(Limits);
  const std::string ValidRequest =
      "POST /a?b=c&d HTTP/1.1\r\nHost: x\r\n"
      "Content-Type: application/json\r\n"
      "Authorization: Bearer t\r\nCookie: a=b\r\n"
      "Accept: */*\r\nContent-Length: 4\r\n\r\n{\"a\"";
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Bytes = ValidRequest;
    for (std::uint64_t Remaining = 1 + Rng.below(6); Remaining > 0; --Remaining)
      Bytes[Rng.below(Bytes.size())] = static_cast<char>(Rng.below(256));
    RawSocket Client = Fixture.connect();
    Client.send(Bytes.substr(0, Rng.below(Bytes.size())));
  }
  // The server closes a new connection while writes of an earlier one with the
  // same file descriptor are pending, so the first attempts may fail.
  CHECK(waitFor([&] { return Fixture.serves(); }));
}

TEST_CASE("responses reach the right connections while others disconnect") {
  constexpr int Rounds = 300;
  ServerFixture Fixture({}, [](const HttpRequest &Request, HttpReply Reply) {
    std::thread([Path = Request.Path, Reply]() mutable {
      Reply.beginStream(200, "text/plain");
      for (int Chunk = 0; Chunk < 20; ++Chunk)
        Reply.write(Path + ";");
      Reply.end();
    }).detach();
  });
  int Misrouted = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Path = "/r" + std::to_string(Round);
    RawSocket(Fixture.Server.port()).send("GET /gone HTTP/1.1\r\n\r\n");
    RawSocket Client = Fixture.connect();
    Client.send("GET " + Path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::string Response = Client.readToEnd();
    if (Response.find("gone") != std::string::npos)
      ++Misrouted;
  }
  CHECK(Misrouted == 0);
  CHECK(waitFor([&] { return Fixture.Server.activeRequests() == 0; }));
}

TEST_CASE("a server can be restarted on the same port") {
  HttpServerLimits Limits;
  for (int Round = 0; Round < 5; ++Round) {
    ServerFixture Fixture(Limits);
    RawSocket Idle = Fixture.connect();
    CHECK(Fixture.serves());
    Limits.Port = Fixture.Server.port();
  }
}
