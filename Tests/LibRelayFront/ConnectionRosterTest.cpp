#include "LibRelayFront/ConnectionRoster.h"
#include "LibNet/TcpListener.h"
#include "LibObserve/StructuredLog.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// Far longer than any step takes; a test that reaches it fails.
constexpr Duration StepTimeout = 20s;

/// A port that takes two connections, whose phases the test sets in the order
/// in which they are accepted.
class FullPort {
public:
  /// The phases begin \p Age before their connections are accepted.
  explicit FullPort(std::vector<ConnectionPhase> Phases, Duration Age = 0s)
      : Phases(std::move(Phases)), Age(Age), Tasks(Loop.hooks()),
        Port(Loop, makeSettings(), [this](const TcpConnection::Handle &Served) {
          this->serve(Served);
        }) {
    startLogging("test", "test", LogLevel::Error);
    REQUIRE(this->Port.start());
  }

  /// Connects three clients, one after the other. \returns which of the first
  /// two was closed for the third, counted from 0.
  int connectThree() {
    int Closed = -1;
    this->Tasks.Spawn([&] {
      std::vector<TcpConnection::Handle> Clients;
      for (std::size_t I = 0; I < 3; ++I) {
        auto Connected = TcpConnection::connect(
            this->Loop, "127.0.0.1:" + std::to_string(this->Port.port()), {},
            this->Tasks.Now() + StepTimeout);
        REQUIRE(Connected);
        Clients.push_back(Connected.value());
        this->waitFor([&] { return this->Accepted > I; });
      }
      this->waitFor(
          [&] { return Clients[0]->hasEnded() || Clients[1]->hasEnded(); });
      Closed = Clients[0]->hasEnded() ? 0 : 1;
      for (const auto &Client : Clients)
        Client->abort();
      this->waitFor([&] { return this->Port.connections() == 0; });
      this->Loop.stop();
    });
    this->Loop.run();
    return Closed;
  }

private:
  TcpListenerSettings makeSettings() {
    TcpListenerSettings Settings{"127.0.0.1:0", 16, 2, {}};
    Settings.MakeRoom = [this] {
      return this->Roster.evictOne(this->Tasks.Now());
    };
    return Settings;
  }

  void serve(const TcpConnection::Handle &Connection) {
    Event Changed;
    ScopedEventAttachment Attached(Connection, Changed);
    ConnectionRoster::Entry Place(this->Roster, Connection, this->Tasks.Now());
    Place.enter(this->Phases[this->Accepted++], this->Tasks.Now() - this->Age);
    this->Tasks.waitUntil(Changed, this->Tasks.Now() + StepTimeout,
                          [&] { return Connection->hasEnded(); });
  }

  void waitFor(const std::function<bool()> &Condition) {
    TimePoint End = this->Tasks.Now() + StepTimeout;
    while (!Condition() && this->Tasks.Now() < End)
      this->Tasks.sleepUntil(this->Tasks.Now() + 1ms);
    REQUIRE(Condition());
  }

  std::vector<ConnectionPhase> Phases;
  Duration Age;
  NetRuntime Loop;
  Runtime Tasks;
  ConnectionRoster Roster{"test"};
  std::size_t Accepted = 0;
  TcpListener Port;
};

} // namespace

TEST_CASE("a full port closes the connection that has waited the longest") {
  CHECK(FullPort({ConnectionPhase::Idle, ConnectionPhase::Idle,
                  ConnectionPhase::Idle})
            .connectThree() == 0);
}

TEST_CASE(
    "a full port closes connections first that did not complete a request "
    "in the time that it takes") {
  for (ConnectionPhase Incomplete :
       {ConnectionPhase::FirstRequest, ConnectionPhase::NextRequest})
    CHECK(
        FullPort({ConnectionPhase::Idle, Incomplete, ConnectionPhase::Idle}, 1h)
            .connectThree() == 1);
}

// With a port full of idle connections, each new client was closed for the next
// one before its request had arrived.
TEST_CASE("a full port closes an idle connection rather than one whose request "
          "has just begun to arrive") {
  for (ConnectionPhase Incomplete :
       {ConnectionPhase::FirstRequest, ConnectionPhase::NextRequest}) {
    CHECK(FullPort({Incomplete, ConnectionPhase::Idle, ConnectionPhase::Idle})
              .connectThree() == 1);
    CHECK(FullPort({ConnectionPhase::Idle, Incomplete, ConnectionPhase::Idle})
              .connectThree() == 0);
  }
}

TEST_CASE("a full port closes no connection whose request is being answered") {
  CHECK(FullPort({ConnectionPhase::Answering, ConnectionPhase::Idle,
                  ConnectionPhase::Idle})
            .connectThree() == 1);
}
