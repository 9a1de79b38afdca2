#include "CallerConnectionFixture.h"

#include <list>
#include <rapidcheck.h>
#include <thread>
#include <unistd.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr Duration IdleTimeout = 300ms;
constexpr std::uint64_t Schedules = 40;

void sleepFor(const RefusingHost &Host, Duration Time) {
  Host.Tasks.sleepUntil(Host.Tasks.Now() + Time);
}

} // namespace

TEST_CASE("a request that arrived within the idle timeout of its connection is "
          "answered by a host that is late to read it") {
  RefusingHost Host({.IdleTimeout = IdleTimeout});
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request("/first") == 404);
    TimePoint IdleSince = Host.Tasks.Now();
    Host.Tasks.sleepUntil(IdleSince + IdleTimeout - 50ms);
    Client.sendRequest("/second");
    Host.blockUntil(IdleSince + IdleTimeout + 50ms);
    CHECK(Client.readStatus() == 404);
  });
  CHECK(Host.Decoded.count("/second") == 1);
}

TEST_CASE("a request that is sent at the end of the idle timeout and arrives "
          "after it is answered") {
  RefusingHost Host({.IdleTimeout = 100ms, .IdleGrace = 2s});
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 404);
    sleepFor(Host, 300ms);
    CHECK(Client.request() == 404);
  });
}

TEST_CASE(
    "a response tells its caller for how long the connection may be idle, "
    "or that it ends") {
  RefusingHostSettings Settings{.IdleTimeout = 15900ms};
  bool EndsConnection = false;
  Settings.Load.EndsConnection = [&] { return EndsConnection; };
  RefusingHost Host(Settings);
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 404);
    CHECK(Client.hasField("Keep-Alive: timeout=15"));
    CHECK_FALSE(Client.hasField("Connection: close"));
    Host.setIdleTimeout(900ms);
    CHECK(Client.request() == 404);
    CHECK_FALSE(Client.hasField("Keep-Alive: "));
    EndsConnection = true;
    Host.setIdleTimeout(15s);
    CHECK(Client.request() == 404);
    CHECK(Client.hasField("Connection: close"));
    CHECK_FALSE(Client.hasField("Keep-Alive: "));
  });
}

TEST_CASE("a request within the idle timeout of the newest configuration is "
          "answered, also if an older one ended its connection earlier") {
  RefusingHost Host({.IdleTimeout = 100ms});
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 404);
    Host.setIdleTimeout(2s);
    sleepFor(Host, 400ms);
    CHECK(Client.request() == 404);
  });
}

TEST_CASE("a request within the idle timeout of the configuration of its last "
          "response is answered, also if a newer one is shorter") {
  RefusingHost Host({.IdleTimeout = 2s});
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 404);
    Host.setIdleTimeout(100ms);
    sleepFor(Host, 400ms);
    CHECK(Client.request() == 404);
  });
}

TEST_CASE("a request that arrives after its host has ended the connection is "
          "not read, so that its caller may send it again") {
  RefusingHost Host({.IdleTimeout = 100ms});
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 404);
    Client.awaitEnd();
    CHECK_FALSE(Client.wasReset());
    Client.sendRequest("/late");
    sleepFor(Host, 50ms);
    Client.sendRequest("/later");
    CHECK(Client.wasReset());
  });
  CHECK(Host.Decoded.count("/late") == 0);
}

TEST_CASE("a full port closes no connection whose request has arrived and was "
          "not read yet") {
  RefusingHost Host({.MaxConnections = 2});
  Host.run([&] {
    ClientConnection First(Host);
    CHECK(First.request() == 404);
    ClientConnection Second(Host);
    CHECK(Second.request() == 404);
    // The host sees the third connection before the request.
    ClientConnection Third(Host);
    First.sendRequest("/first");
    CHECK(First.readStatus() == 404);
    Second.awaitEnd();
    CHECK(Third.request() == 404);
  });
}

TEST_CASE("a full port refuses the request that it closes a connection for") {
  RefusingHost Host({.MaxConnections = 1});
  Host.run([&] {
    ClientConnection First(Host);
    First.send("GET / HTTP/1.1\r\nHo");
    sleepFor(Host, 1100ms);
    ClientConnection Second(Host);
    CHECK(First.readStatus() == 503);
    CHECK(Second.request() == 404);
  });
}

TEST_CASE("a host that sends callers away answers requests that have arrived") {
  RefusingHostSettings Settings;
  Settings.Load.EndsConnection = [] { return true; };
  RefusingHost Host(Settings);
  Host.run([&] {
    ClientConnection Client(Host);
    Client.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Client.readStatus() == 404);
    CHECK(Client.readStatus() == 404);
    Client.awaitEnd();
  });
}

// The bytes that were left for want of memory were waited for without a wait.
TEST_CASE("a host without memory as it answers reads the next request, whose "
          "bytes arrived meanwhile, and does not hang") {
  constexpr std::size_t MaxBytes = 256 * 1024;
  constexpr std::size_t FreeBytes = 8 * 1024;
  constexpr std::size_t BodyBytes = 24'000;
  auto Budget =
      std::make_shared<MemoryBudget>(MemoryPolicy{MaxBytes, FreeBytes});
  RefusingHost Host({.Memory = Budget});
  Host.run([&] {
    ClientConnection Client(Host);
    std::list<MemoryHold> Others;
    bool IsFirst = true;
    Host.OnDecode = [&] {
      if (!std::exchange(IsFirst, false))
        return;
      // Other connections take what is left.
      for (int I = 0; I < 16; ++I) {
        MemoryHold &Other =
            Others.emplace_back(Budget, std::vector<MemoryOwner>{});
        for (std::size_t Bytes = MaxBytes;
             Bytes > FreeBytes && !Other.resize(Bytes); Bytes -= 1024) {
        }
      }
      Client.send("Host: a\r\n\r\n");
    };
    Client.send("POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                std::to_string(BodyBytes) + "\r\n\r\n" +
                std::string(BodyBytes, 'x') + "GET /second HTTP/1.1\r\n");
    // Ends the process if it hangs.
    ::alarm(60);
    CHECK(Client.readStatus() == 404);
    CHECK(Client.readStatus() == 404);
    ::alarm(0);
  });
}

TEST_CASE("a stopping host answers a request that has arrived on an idle "
          "connection, also if it is late to read it") {
  StopPolicy Stop;
  Stop.IdleGrace = 200ms;
  RefusingHost Host({.Stop = Stop});
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 404);
    Host.stop();
    TimePoint StoppedAt = Host.Tasks.Now();
    Host.Tasks.sleepUntil(StoppedAt + 150ms);
    Client.sendRequest();
    Host.blockUntil(StoppedAt + 300ms);
    CHECK(Client.readStatus() == 404);
    Client.awaitEnd();
  });
}

TEST_CASE("a host that exits has refused a request that has begun to arrive") {
  RefusingHost Host({.HeadTimeout = 10s});
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 404);
    Client.send("GET / HTTP/1.1\r\nHo");
    sleepFor(Host, 50ms);
    // Returns when the process exits.
    Host.Server.stop(2s);
    sleepFor(Host, 20ms);
    CHECK(Client.hasResponse());
    CHECK(Client.readStatus() == 503);
  });
}

TEST_CASE("a stopping host that is late accepts a connection whose request "
          "has arrived") {
  RefusingHost Host({.Stop = {.BalancerDelay = 300ms}});
  Host.run([&] {
    Host.stop();
    TimePoint StoppedAt = Host.Tasks.Now();
    Host.Tasks.sleepUntil(StoppedAt + 250ms);
    ClientConnection Client(Host);
    Client.sendRequest();
    Host.blockUntil(StoppedAt + 400ms);
    CHECK(Client.readStatus() == 404);
  });
}

TEST_CASE("a caller that reads its response slowly, and all the time, gets all "
          "of it") {
  constexpr std::size_t ResponseBytes = 1'000'000;
  constexpr int BufferBytes = 16 * 1024;
  RefusingHost Host({.WriteTimeout = 500ms,
                     .SendBufferBytes = BufferBytes,
                     .FillerBytes = ResponseBytes});
  Host.run([&] {
    ClientConnection Client(Host, BufferBytes);
    Client.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(Client.readSlowly(6000, 10ms) > ResponseBytes);
  });
}

TEST_CASE("a response is sent whole to a caller that read while its host was "
          "suspended for longer than the write timeout") {
  constexpr std::size_t ResponseBytes = 1'000'000;
  constexpr int BufferBytes = 16 * 1024;
  RefusingHost Host({.WriteTimeout = 500ms,
                     .SendBufferBytes = BufferBytes,
                     .FillerBytes = ResponseBytes});
  std::size_t Read = 0;
  Host.run([&] {
    ClientConnection Client(Host, BufferBytes);
    Client.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    // The host waits for the caller by now.
    sleepFor(Host, 50ms);
    std::thread Reader([&] { Read = Client.readToEnd(); });
    Host.blockUntil(Host.Tasks.Now() + 600ms);
    while (Host.Server.connections() > 0)
      sleepFor(Host, 5ms);
    Reader.join();
  });
  CHECK(Read > ResponseBytes);
}

TEST_CASE("a request that arrives while a stopping host still sends the last "
          "response is answered") {
  constexpr std::size_t ResponseBytes = 200'000;
  constexpr int BufferBytes = 16 * 1024;
  RefusingHost Host({.Stop = {.IdleGrace = 100ms},
                     .SendBufferBytes = BufferBytes,
                     .FillerBytes = ResponseBytes});
  Host.run([&] {
    ClientConnection Client(Host, BufferBytes);
    Client.sendRequest();
    sleepFor(Host, 50ms);
    Host.stop();
    // By now, the host no longer waits for a request.
    sleepFor(Host, 250ms);
    Client.sendRequest();
    CHECK(Client.readStatus() == 404);
    CHECK(Client.readStatus() == 404);
  });
}

TEST_CASE("a request whose handling fails is answered") {
  RefusingHost Host;
  Host.FailsToDecode = true;
  Host.run([&] {
    ClientConnection Client(Host);
    CHECK(Client.request() == 500);
  });
}

namespace {

/// What happens at one moment of a schedule.
enum class Step {
  Request,
  PipelinedRequests,
  /// A request whose rest is sent with the next step of its client.
  PartialRequest,
  Pause,
  Block,
  LongerTimeout,
  ShorterTimeout,
  OtherConnections,
  SendAway,
  Stop,
};

/// A client that requests in every state of its connection.
class ScheduledClient {
public:
  explicit ScheduledClient(RefusingHost &Host) : Host(Host) {}

  void request(std::size_t Count, bool IsPartial) {
    if (!this->Client || this->Client->hasEnded())
      this->reconnect();
    std::string Bytes;
    for (std::size_t I = 0; I < Count; ++I)
      Bytes += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::size_t First = IsPartial ? Bytes.size() / 2 : Bytes.size();
    this->Client->send(Bytes.substr(0, First));
    this->Unsent = Bytes.substr(First);
    this->Unanswered = Count;
  }

  /// Completes what was sent. \returns the statuses of the responses that are
  /// due; the last one also answers for requests after a refusal.
  std::vector<unsigned> readResponses() {
    std::vector<unsigned> Statuses;
    if (!this->Client)
      return Statuses;
    if (!this->Unsent.empty())
      this->Client->send(this->Unsent);
    this->Unsent.clear();
    for (; this->Unanswered > 0; --this->Unanswered)
      Statuses.push_back(this->Client->readStatus());
    return Statuses;
  }

private:
  void reconnect() {
    this->Client.reset();
    this->Client.emplace(this->Host);
  }

  RefusingHost &Host;
  std::optional<ClientConnection> Client;
  std::string Unsent;
  std::size_t Unanswered = 0;
};

struct ScheduledStep {
  Step Kind;
  Duration Time;
};

/// The same steps for the same seed.
std::vector<ScheduledStep> drawSchedule(std::uint64_t Seed) {
  constexpr std::size_t Steps = 12;
  auto Schedules = rc::gen::container<std::vector<ScheduledStep>>(
      Steps, rc::gen::construct<ScheduledStep>(
                 rc::gen::weightedElement<Step>({{5, Step::Request},
                                                 {2, Step::PipelinedRequests},
                                                 {2, Step::PartialRequest},
                                                 {5, Step::Pause},
                                                 {4, Step::Block},
                                                 {1, Step::LongerTimeout},
                                                 {1, Step::ShorterTimeout},
                                                 {2, Step::OtherConnections},
                                                 {1, Step::SendAway},
                                                 {1, Step::Stop}}),
                 rc::gen::map(rc::gen::inRange(0, 40), [](int Milliseconds) {
                   return Duration(std::chrono::milliseconds(Milliseconds));
                 })));
  return Schedules(rc::Random(Seed), rc::kNominalSize).value();
}

/// \returns the statuses of all responses that were due.
std::vector<unsigned> play(const std::vector<ScheduledStep> &Steps) {
  bool SendsAway = false;
  RefusingHostSettings Settings{.IdleTimeout = 25ms, .MaxConnections = 4};
  Settings.Load.EndsConnection = [&] {
    return std::exchange(SendsAway, false);
  };
  Settings.Stop.IdleGrace = 20ms;
  Settings.Stop.FirstRequestGrace = 20ms;
  Settings.Stop.BalancerDelay = 600ms;
  RefusingHost Host(Settings);
  std::vector<unsigned> Statuses;
  Host.run([&] {
    ScheduledClient Client(Host);
    std::list<ClientConnection> Others;
    auto ReadResponses = [&] {
      for (unsigned Status : Client.readResponses())
        Statuses.push_back(Status);
    };
    for (const ScheduledStep &Each : Steps) {
      if (Host.hasExited())
        break;
      switch (Each.Kind) {
      case Step::Request:
      case Step::PipelinedRequests:
      case Step::PartialRequest:
        ReadResponses();
        if (!Host.hasExited())
          Client.request(Each.Kind == Step::PipelinedRequests ? 3 : 1,
                         Each.Kind == Step::PartialRequest);
        break;
      case Step::Pause:
        sleepFor(Host, Each.Time);
        break;
      case Step::Block:
        Host.blockUntil(Host.Tasks.Now() + Each.Time);
        break;
      case Step::LongerTimeout:
        Host.setIdleTimeout(40ms);
        break;
      case Step::ShorterTimeout:
        Host.setIdleTimeout(10ms);
        break;
      case Step::OtherConnections:
        for (int I = 0; I < 4; ++I)
          Others.emplace_back(Host);
        break;
      case Step::SendAway:
        SendsAway = true;
        break;
      case Step::Stop:
        Host.stop();
        break;
      }
    }
    ReadResponses();
  });
  return Statuses;
}

} // namespace

TEST_CASE("a request that has begun to arrive is answered or refused, whatever "
          "else happens to its host") {
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    CAPTURE(Seed);
    for (unsigned Status : play(drawSchedule(Seed)))
      CHECK(Status != 0U);
  }
}
