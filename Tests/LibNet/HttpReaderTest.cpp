#include "ConnectionPair.h"

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("a request keeps its target, its headers and its body") {
  ConnectionPair Connections;
  const std::string Binary{'h', 'e', '\0', 'l', 'o'};
  std::string Bytes = "POST /a%2Fb/../c?page=34&sort=new&page=1 HTTP/1.1\r\n"
                      "Host: api.example\r\nX-One: 1\r\nx-one: 2\r\n"
                      "Content-Length: 5\r\n\r\n";
  Bytes += Binary;
  auto Read = Connections.readRequest(Bytes);
  REQUIRE(Read);
  const HttpRequestMessage &Message = Read.value();
  CHECK(Message.Head.Method == "POST");
  CHECK(Message.Head.Target == "/a%2Fb/../c?page=34&sort=new&page=1");
  CHECK(Message.Body == Binary);
  CHECK(Message.Head.KeepAlive);
  std::vector<HeaderField> Expected = {{"Host", "api.example"},
                                       {"X-One", "1"},
                                       {"x-one", "2"},
                                       {"Content-Length", "5"}};
  CHECK(Message.Head.Headers.fields() == Expected);
}

TEST_CASE("a chunked request is read to its end") {
  ConnectionPair Connections;
  auto Read = Connections.readRequest("POST / HTTP/1.1\r\nHost: a\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(Read);
  CHECK(Read.value().Body == "abcde");
}

TEST_CASE("ambiguous and malformed requests are rejected") {
  for (const char *Bytes :
       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        "Content-Length: 6\r\n\r\nabcdef",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1 2\r\n\r\n",
        "POST / HTTP/1.1\r\nHost : a\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "nonsense\r\n\r\n"}) {
    CAPTURE(Bytes);
    ConnectionPair Connections;
    auto Read = Connections.readRequest(Bytes);
    REQUIRE_FALSE(Read);
    CHECK(Read.error() == NetError::Malformed);
  }
}

TEST_CASE("an oversized request head or body has an error of its own") {
  ConnectionPair Head;
  auto Read = Head.readRequest(
      "GET / HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n",
      {1000, 1000});
  REQUIRE_FALSE(Read);
  CHECK(Read.error() == NetError::HeadTooLarge);
  ConnectionPair Body;
  Read = Body.readRequest("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" +
                              std::string(2000, 'a'),
                          {1000, 1000});
  REQUIRE_FALSE(Read);
  CHECK(Read.error() == NetError::BodyTooLarge);
}

TEST_CASE("responses are read completely with every body framing") {
  ConnectionPair Length;
  auto Answer = Length.readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                                  "Set-Cookie: a\r\nSet-Cookie: b\r\n\r\nabc");
  CHECK_FALSE(Answer.Failure);
  CHECK(Answer.Body == "abc");
  CHECK(Answer.Head.Headers.fields().size() == 3);
  ConnectionPair Chunked;
  Answer = Chunked.readAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                              "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  CHECK(Answer.Body == "abc");
  ConnectionPair Unframed;
  Answer = Unframed.readAnswer("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK_FALSE(Answer.Failure);
  CHECK(Answer.Body == "abc");
  CHECK_FALSE(Answer.CanReuse);
  ConnectionPair Informed;
  Answer = Informed.readAnswer("HTTP/1.1 103 Early Hints\r\n\r\n"
                               "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  CHECK(Answer.Head.Status == 200);
  CHECK(Answer.Body == "a");
}

TEST_CASE("truncated, reset and malformed responses are errors") {
  ConnectionPair Cut;
  auto Answer =
      Cut.readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  CHECK(Answer.Failure == NetError::Closed);
  ConnectionPair Chunk;
  Answer = Chunk.readAnswer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  CHECK(Answer.Failure == NetError::Closed);
  ConnectionPair Reset;
  Answer = Reset.readAnswer("HTTP/1.1 200 OK\r\n\r\nabc", true);
  CHECK(Answer.Failure == NetError::Reset);
  ConnectionPair Garbage;
  Answer = Garbage.readAnswer("%%%%\r\n\r\n");
  CHECK(Answer.Failure == NetError::Malformed);
}

TEST_CASE("endless response heads are rejected") {
  ConnectionPair Interim;
  std::string Heads;
  for (int I = 0; I < 2000; ++I)
    Heads += "HTTP/1.1 100 Continue\r\n\r\n";
  auto Answer = Interim.readAnswer(
      Heads + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  CHECK(Answer.Failure == NetError::Malformed);
  ConnectionPair Line;
  Answer =
      Line.readAnswer("HTTP/1.1 200 OK\r\nX: " + std::string(300'000, 'a'));
  CHECK(Answer.Failure == NetError::Malformed);
  ConnectionPair Fields;
  Answer = Fields.readAnswer("HTTP/1.1 200 OK\r\n" + [] {
    std::string Many;
    for (int I = 0; I < 20'000; ++I)
      Many += "X: a\r\n";
    return Many;
  }());
  CHECK(Answer.Failure == NetError::Malformed);
}

TEST_CASE("a field of the trailer does not become one of the head, however the "
          "response arrives") {
  ConnectionPair Connections;
  auto Answer = Connections.readAnswer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\nContent-Type: text/event-stream\r\n\r\n");
  CHECK_FALSE(Answer.Failure);
  CHECK(Answer.Body == "abc");
  CHECK_FALSE(Answer.Head.Headers.find("Content-Type"));
}

TEST_CASE("a connection with bytes after the response is not reused") {
  ConnectionPair Extra;
  auto Answer = Extra.readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
                                 "aHTTP/1.1 200 OK\r\n");
  CHECK(Answer.Body == "a");
  CHECK_FALSE(Answer.CanReuse);
}

TEST_CASE("hop-by-hop headers are removed") {
  HeaderList Headers;
  for (const char *Name :
       {"Host", "Connection", "X-Private", "TE", "keep-alive",
        "Transfer-Encoding", "content-length", "X-Kept"})
    Headers.add(Name, std::string_view(Name) == "Connection"
                          ? "close, x-private"
                          : "1");
  Headers.removeConnectionFields();
  std::vector<HeaderField> Expected = {{"Host", "1"}, {"X-Kept", "1"}};
  CHECK(Headers.fields() == Expected);
}

TEST_CASE("a refused connection fails with ConnectFailed") {
  NetRuntime Loop;
  std::error_code Failure;
  Loop.hooks().Spawn([&] {
    auto Made = TcpConnection::connect(Loop, "127.0.0.1:1", {},
                                       Loop.hooks().Now() + TestTimeout);
    Failure = Made ? std::error_code() : Made.error();
    Loop.stop();
  });
  Loop.run();
  CHECK(Failure == NetError::ConnectFailed);
}

TEST_CASE("a trailer is bounded like a head") {
  const std::string Request = "POST / HTTP/1.1\r\nHost: a\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n0\r\n";
  for (std::size_t Bytes : {1'000U, 40'000U}) {
    CAPTURE(Bytes);
    ConnectionPair Connections;
    auto Read = Connections.readRequest(
        Request + "X: " + std::string(Bytes, 'a') + "\r\n\r\n");
    CHECK(static_cast<bool>(Read) == (Bytes < 16 * 1024));
    if (!Read)
      CHECK(Read.error() == NetError::HeadTooLarge);
  }
}

TEST_CASE("a head within the limit may consist of very many short fields") {
  std::string Head = "GET / HTTP/1.1\r\nHost: a\r\n";
  while (Head.size() < 16'000)
    Head += "a:\r\n";
  ConnectionPair Connections;
  auto Read = Connections.readRequest(Head + "\r\n");
  REQUIRE(Read);
  CHECK(Read.value().Head.Headers.fields().size() > 3'000);
}

TEST_CASE("a response that the end of its connection delimits is not complete "
          "if its connection is evicted before the last byte is sent") {
  for (bool IsSent : {true, false}) {
    CAPTURE(IsSent);
    ConnectionPair Connections;
    bool IsEvicted = false;
    bool WasLost = false;
    Connections.run(
        [&](const TcpConnection::Handle &Connection, Event &) {
          Runtime Tasks = Connections.Loop.hooks();
          const std::string Bytes(100'000, 'x');
          (void)Connection->write("x", Connections.deadline());
          while (!IsSent && Connection->unsent() == 0)
            (void)Connection->write(Bytes, Tasks.Now() + 10ms);
          Connection->evict();
          IsEvicted = true;
        },
        [&](const TcpConnection::Handle &Connection, Event &Changed) {
          Runtime Tasks = Connections.Loop.hooks();
          while (!IsEvicted)
            Tasks.sleepUntil(Tasks.Now() + 1ms);
          Tasks.waitUntil(Changed, Connections.deadline(), [&] {
            Connection->consume(Connection->unread().size());
            return Connection->hasEnded();
          });
          WasLost = Connection->wasLost();
        });
    CHECK(WasLost != IsSent);
  }
}
