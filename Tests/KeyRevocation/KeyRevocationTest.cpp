/// \file
/// Guards against calls with a key that a later version of the configuration
/// has removed, on every way that a call takes into a relay.

#include "../LibHttp/RawSocket.h"
#include "../MisbehavingClients/RelayProcess.h"
#include "../Platform/RouteEntry.h"
#include "platform/WireNames.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

using namespace bergamothook;
using namespace std::chrono_literals;
using nlohmann::json;
namespace wire = platform::wire;

namespace {

/// Twice the time within which a version has to be in force.
constexpr Duration ChangeTime = 4s;

json makeConfig(std::uint64_t Version, const json &Teams) {
  json Closed = makeRouteEntry("closed", RelayProcess::RouteHost,
                               "/plain/closed/", "idempotent", "plain");
  Closed["public"] = false;
  json Open = makeRouteEntry("open", RelayProcess::RouteHost, "/plain/open/",
                             "idempotent", "plain");
  return {{"version", Version},
          {"routes", {Closed, Open}},
          {"services", {{{"name", "plain"}, {"maxConns", 1000}}}},
          {"limits", {{"headerTimeoutMs", 20000}}},
          {"tenants", Teams}};
}

const json HeldTeams = {{{"name", "parks"}, {"apiKeys", {"held"}}}};

std::string makeHead(const std::string &Path, const std::string &Key,
                     std::size_t BodyBytes) {
  static int Calls = 0;
  return "POST " + Path + " HTTP/1.1\r\nHost: " + RelayProcess::RouteHost +
         "\r\n" + std::string(wire::AttemptId) + ": call-" +
         std::to_string(++Calls) + "\r\nAuthorization: Bearer " + Key +
         "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
}

RawSocket connectTo(const RelayProcess &Relay) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  REQUIRE(Socket >= 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(RelayProcess::FrontPort);
  To.sin_addr.s_addr = inet_addr(Relay.ip().c_str());
  REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0);
  return RawSocket::adopt(Socket);
}

/// Reads one response. \returns its status; 0 if there is none.
unsigned readStatus(RawSocket &Connection) {
  const std::string Head = Connection.readUntil("\r\n\r\n");
  const std::string Begin = "HTTP/1.1 ";
  if (!Head.starts_with(Begin))
    return 0;
  const std::string LengthField = "Content-Length: ";
  std::size_t At = Head.find(LengthField);
  std::size_t HeadEnd = Head.find("\r\n\r\n") + 4;
  if (At != std::string::npos)
    Connection.readExactly(std::stoul(Head.substr(At + LengthField.size())) -
                           (Head.size() - HeadEnd));
  return static_cast<unsigned>(std::stoul(Head.substr(Begin.size())));
}

unsigned callOn(RawSocket &Connection, const std::string &Path,
                const std::string &Key) {
  Connection.send(makeHead(Path, Key, 0));
  return readStatus(Connection);
}

unsigned call(const RelayProcess &Relay, const std::string &Path,
              const std::string &Key) {
  RawSocket Connection = connectTo(Relay);
  return callOn(Connection, Path, Key);
}

/// Waits until a call is answered with \p Status.
void awaitStatus(const RelayProcess &Relay, const std::string &Path,
                 const std::string &Key, unsigned Status) {
  constexpr Duration Limit = 30s;
  auto End = std::chrono::steady_clock::now() + Limit;
  while (call(Relay, Path, Key) != Status) {
    REQUIRE(std::chrono::steady_clock::now() < End);
    std::this_thread::sleep_for(20ms);
  }
}

constexpr const char *ClosedPath = "/plain/closed/x";
constexpr const char *OpenPath = "/plain/open/x";

} // namespace

TEST_CASE("a removed key: on a kept connection, with a body on its way, on a "
          "public route, and at a host that starts later") {
  // The last team goes; its keys go; it has none; its list can't be read.
  const std::vector<std::pair<json, unsigned>> Changes = {
      {json::array(), 401U},
      {{{{"name", "parks"}, {"apiKeys", json::array()}}}, 401U},
      {{{{"name", "parks"}}}, 401U},
      {{{{"name", "parks"}, {"apiKeys", {""}}}}, 401U},
      {{{{"name", "parks"}, {"apiKeys", nullptr}}}, 503U},
      {"none", 503U}};
  RelayProcess Relay;
  std::uint64_t Version = 1;
  Relay.publish(makeConfig(++Version, HeldTeams).dump());
  Relay.start();
  for (const auto &[Teams, Refusal] : Changes) {
    CAPTURE(Teams.dump());
    Relay.publish(makeConfig(++Version, HeldTeams).dump());
    awaitStatus(Relay, ClosedPath, "held", 200);
    RawSocket Kept = connectTo(Relay);
    CHECK(callOn(Kept, ClosedPath, "held") == 200);
    CHECK(callOn(Kept, ClosedPath, "never-held") == 401);
    RawSocket Slow = connectTo(Relay);
    Slow.send(makeHead(ClosedPath, "held", 8) + "half");
    Relay.publish(makeConfig(++Version, Teams).dump());
    std::this_thread::sleep_for(ChangeTime);
    std::uint64_t Before = Relay.executed();
    Slow.send("half");
    CHECK(readStatus(Slow) == Refusal);
    for (const char *Key : {"held", "never-held", ""}) {
      CAPTURE(Key);
      CHECK(callOn(Kept, ClosedPath, Key) >= 401);
      CHECK(call(Relay, ClosedPath, Key) >= 401);
    }
    CHECK(callOn(Kept, ClosedPath, "held") == Refusal);
    CHECK(Relay.executed() == Before);
    CHECK(call(Relay, OpenPath, "held") == 200);
  }
  Relay.publish(makeConfig(++Version, json::array()).dump());
  Relay.restart();
  std::uint64_t Before = Relay.executed();
  CHECK(call(Relay, ClosedPath, "held") == 401);
  CHECK(call(Relay, ClosedPath, "") == 401);
  CHECK(Relay.executed() == Before);
  CHECK(call(Relay, OpenPath, "") == 200);
}

TEST_CASE("a removed key: with the store away since the change") {
  RelayProcess Relay;
  Relay.publish(makeConfig(2, HeldTeams).dump());
  Relay.start();
  CHECK(call(Relay, ClosedPath, "held") == 200);
  Relay.publish(makeConfig(3, json::array()).dump());
  awaitStatus(Relay, ClosedPath, "held", 401);
  Relay.setStoreFault(StoreFault::Unavailable);
  std::uint64_t Before = Relay.executed();
  std::this_thread::sleep_for(ChangeTime);
  // A key may have been added since; the removed one is not in force.
  CHECK(call(Relay, ClosedPath, "held") == 503);
  CHECK(Relay.executed() == Before);
  Relay.setStoreFault(StoreFault::None);
  awaitStatus(Relay, ClosedPath, "held", 401);
  CHECK(Relay.executed() == Before);
}

// Guards against denials, for good, by the version before one that can't be
// read.
TEST_CASE("a version that can't be read, and one that is gone: what the one "
          "before lacks is not denied") {
  RelayProcess Relay;
  Relay.publish(makeConfig(2, HeldTeams).dump());
  Relay.start();
  CHECK(call(Relay, ClosedPath, "added") == 401);
  CHECK(call(Relay, "/none/", "held") == 404);
  for (const char *Unreadable : {"{", "[]", R"({"version":"three"})", ""}) {
    CAPTURE(Unreadable);
    Relay.publish(Unreadable);
    std::this_thread::sleep_for(ChangeTime);
    CHECK(call(Relay, ClosedPath, "held") == 200);
    CHECK(call(Relay, ClosedPath, "added") == 503);
    CHECK(call(Relay, "/none/", "held") == 503);
  }
  json Added = HeldTeams;
  Added[0]["apiKeys"].push_back("added");
  Relay.publish(makeConfig(3, Added).dump());
  awaitStatus(Relay, ClosedPath, "added", 200);
  CHECK(call(Relay, "/none/", "held") == 404);
}
