#include "LibNet/DatagramSocket.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

TEST_CASE("datagrams reach another socket, and send failures are counted") {
  NetRuntime Loop;
  std::vector<std::string> Received;
  DatagramSocket To(Loop, "127.0.0.1:0",
                    [&](std::string Bytes) { Received.push_back(Bytes); });
  DatagramSocket From(Loop, "127.0.0.1:0", [](const std::string &) {});
  REQUIRE(To.start());
  REQUIRE(From.start());
  std::string Address = "127.0.0.1:" + std::to_string(To.port());
  Loop.hooks().Spawn([&] {
    Runtime Tasks = Loop.hooks();
    From.send(Address, "a");
    From.send(Address, std::string(1400, 'b'));
    From.send("nowhere", "c");
    From.send(Address, std::string(70'000, 'd')); // Exceeds the maximum size.
    TimePoint Latest = Tasks.Now() + 1min;
    while (Received.size() < 2 && Tasks.Now() < Latest)
      Tasks.sleepUntil(Tasks.Now() + 10ms);
    To.stop();
    From.stop();
    Loop.stop();
  });
  Loop.run();
  REQUIRE(Received.size() == 2);
  CHECK(Received[0] == "a");
  CHECK(Received[1] == std::string(1400, 'b'));
  CHECK(From.sendFailures() == 2);
}

TEST_CASE("binding fails for a port in use and for an invalid address") {
  NetRuntime Loop;
  DatagramSocket One(Loop, "127.0.0.1:0", [](const std::string &) {});
  REQUIRE(One.start());
  DatagramSocket Two(Loop, "127.0.0.1:" + std::to_string(One.port()),
                     [](const std::string &) {});
  CHECK_FALSE(Two.start());
  DatagramSocket Nowhere(Loop, "no address", [](const std::string &) {});
  CHECK_FALSE(Nowhere.start());
}
