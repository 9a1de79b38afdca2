#include "../LibHttp/RawServer.h"
#include "ConnectionPair.h"

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// How long a write may wait for a server that does not read.
constexpr Duration WriteTimeout = 300ms;
/// More than the server's kernel receives ahead, and less than the client's
/// connection queues.
constexpr std::size_t LongBytes = 250'000;

const std::string Partial = "HTTP/1.1 200 OK\r\n\r\npart";
const std::string Complete = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart";
const std::string Earlier = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

struct Exchange {
  std::size_t UploadBytes = 0;
  std::size_t ReadBytes = 0;
  ServerEnd End = ServerEnd::Close;
  std::string Response = Partial;
  /// Another exchange has used the connection before.
  bool IsKept = false;
};

std::string describe(const Exchange &Played) {
  return std::to_string(Played.ReadBytes) + " of " +
         std::to_string(Played.UploadBytes) + " bytes read, end " +
         std::to_string(static_cast<int>(Played.End)) +
         (Played.IsKept ? ", kept connection" : ", new connection");
}

/// Plays one upload. \returns the body that was received, or why there is none.
Result<std::string> play(const Exchange &Played) {
  RawServer Server([&](const std::string &Head) -> RawResponse {
    if (Head.starts_with("GET"))
      return {Earlier, 0, ServerEnd::None};
    return {Played.Response, Played.ReadBytes, Played.End};
  });
  Result<std::string> Body = NetError::TimedOut;
  NetRuntime Loop;
  Runtime Tasks = Loop.hooks();
  Tasks.Spawn([&] {
    TimePoint Deadline = Tasks.Now() + TestTimeout;
    Event Changed;
    auto Connection =
        TcpConnection::connect(Loop, Server.address(), {}, Deadline).value();
    ScopedEventAttachment Attached(Connection, Changed);
    auto Read = [&]() -> Result<std::string> {
      HttpResponseReader Reader(Connection, Tasks, Changed, false);
      BOOST_OUTCOME_TRYV(Reader.readHead(Deadline, neverCancelled));
      return Reader.readAll(1 << 20, Deadline, neverCancelled);
    };
    auto Exchange = [&]() -> Result<std::string> {
      if (Played.IsKept) {
        BOOST_OUTCOME_TRYV(
            Connection->write("GET / HTTP/1.1\r\n\r\n", Deadline));
        BOOST_OUTCOME_TRYV(Read());
      }
      auto Written = Connection->writeMessage(
          "POST / HTTP/1.1\r\nContent-Length: " +
              std::to_string(Played.UploadBytes) + "\r\n\r\n",
          std::string(Played.UploadBytes, 'x'), Tasks.Now() + WriteTimeout);
      if (!Written && Written.error() != NetError::Reset)
        return Written.error();
      return Read();
    };
    Body = Exchange();
    Connection->abort();
    Loop.stop();
  });
  Loop.run();
  return Body;
}

constexpr ServerEnd AllEnds[] = {ServerEnd::Close, ServerEnd::Reset,
                                 ServerEnd::HalfClose,
                                 ServerEnd::HalfCloseThenReset};

} // namespace

TEST_CASE("a response that the end of its connection delimits is not complete "
          "if the connection ends before the request was sent") {
  for (std::size_t UploadBytes : {LongBytes, std::size_t{4'000'000}})
    for (std::size_t ReadBytes : {std::size_t{0}, UploadBytes / 2})
      for (ServerEnd End : AllEnds)
        for (bool IsKept : {false, true}) {
          Exchange Played{UploadBytes, ReadBytes, End, Partial, IsKept};
          CAPTURE(describe(Played));
          auto Body = play(Played);
          CHECK_FALSE(Body);
        }
}

TEST_CASE("a response that the end of its connection delimits is not complete "
          "if the connection is reset, however small the request") {
  for (std::size_t UploadBytes : {std::size_t{1'000}, LongBytes})
    for (bool IsKept : {false, true}) {
      Exchange Played{UploadBytes, UploadBytes, ServerEnd::Reset, Partial,
                      IsKept};
      CAPTURE(describe(Played));
      auto Body = play(Played);
      REQUIRE_FALSE(Body);
      CHECK(Body.error() == NetError::Reset);
    }
}

TEST_CASE("a response that the end of its connection delimits is complete if "
          "the request was read before") {
  for (std::size_t UploadBytes :
       {std::size_t{0}, std::size_t{1'000}, LongBytes, std::size_t{4'000'000}})
    for (ServerEnd End : {ServerEnd::Close, ServerEnd::HalfClose})
      for (bool IsKept : {false, true}) {
        Exchange Played{UploadBytes, UploadBytes, End, Partial, IsKept};
        CAPTURE(describe(Played));
        auto Body = play(Played);
        REQUIRE(Body);
        CHECK(Body.value() == "part");
      }
}

TEST_CASE("a response with a length is complete though its server does not "
          "read the request") {
  for (ServerEnd End : AllEnds)
    for (bool IsKept : {false, true}) {
      Exchange Played{LongBytes, 0, End, Complete, IsKept};
      CAPTURE(describe(Played));
      auto Body = play(Played);
      REQUIRE(Body);
      CHECK(Body.value() == "part");
    }
}

TEST_CASE("what was received before a reset can be read after a write has "
          "failed") {
  // More than one read gets, and less than the kernel receives ahead.
  const std::string Response(20'000, 'x');
  ConnectionPair Connections;
  bool IsReset = false;
  std::error_code Failure;
  std::size_t UnreadBytes = 0;
  Connections.run(
      [&](const TcpConnection::Handle &Connection, Event &) {
        (void)Connection->write(Response, Connections.deadline());
        Connection->abort();
        IsReset = true;
      },
      [&](const TcpConnection::Handle &Connection, Event &) {
        Runtime Tasks = Connections.Loop.hooks();
        while (!IsReset)
          Tasks.sleepUntil(Tasks.Now() + 1ms);
        auto Written = Connection->write("x", Connections.deadline());
        Failure = Written ? std::error_code() : Written.error();
        UnreadBytes = Connection->unread().size();
      });
  CHECK(Failure == NetError::Reset);
  CHECK(UnreadBytes == Response.size());
}
