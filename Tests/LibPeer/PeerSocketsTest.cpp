#include "LibPeer/PeerSockets.h"
#include "LibTask/RealRuntime.h"

#include <doctest/doctest.h>
#include <thread>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// Collects what one end received.
struct Mailbox {
  PeerSocketHooks hooksTo(std::uint16_t &Port) {
    PeerSocketHooks Made;
    Made.Receive = [this](PeerTransport Over, std::string Bytes) {
      this->Frames.push({Over, std::move(Bytes)});
    };
    Made.Locate = [&Port](HostId Host) -> std::optional<PeerAddress> {
      if (Host.Value == 0)
        return std::nullopt;
      return PeerAddress{"127.0.0.1", Port};
    };
    return Made;
  }

  Channel<std::pair<PeerTransport, std::string>> Frames{100};
};

} // namespace

TEST_CASE("datagrams and frames arrive whole over the loopback interface") {
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  Mailbox First;
  Mailbox Second;
  std::uint16_t FirstPort = 0;
  std::uint16_t SecondPort = 0;
  PeerSockets One({"127.0.0.1", 0}, Tasks, First.hooksTo(SecondPort));
  PeerSockets Two({"127.0.0.1", 0}, Tasks, Second.hooksTo(FirstPort));
  REQUIRE(One.start());
  REQUIRE(Two.start());
  FirstPort = One.port();
  SecondPort = Two.port();

  One.sendDatagram(HostId{2}, "small");
  auto Small = Second.Frames.pop(Tasks, Tasks.Now() + 10s);
  REQUIRE(Small);
  CHECK(Small->first == PeerTransport::Datagram);
  CHECK(Small->second == "small");

  std::string Large(60'000, 'x');
  CHECK(One.sendStream(HostId{2}, Large, Tasks.Now() + 10s));
  CHECK(One.sendStream(HostId{2}, "next", Tasks.Now() + 10s));
  auto Came = Second.Frames.pop(Tasks, Tasks.Now() + 10s);
  REQUIRE(Came);
  CHECK(Came->first == PeerTransport::Stream);
  CHECK(Came->second == Large);
  CHECK(Second.Frames.pop(Tasks, Tasks.Now() + 10s)->second == "next");
}

TEST_CASE("a frame to nobody fails, and later ones still arrive") {
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  Mailbox First;
  Mailbox Second;
  std::uint16_t FirstPort = 0;
  std::uint16_t SecondPort = 1;
  PeerSockets One({"127.0.0.1", 0}, Tasks, First.hooksTo(SecondPort));
  PeerSockets Two({"127.0.0.1", 0}, Tasks, Second.hooksTo(FirstPort));
  REQUIRE(One.start());
  REQUIRE(Two.start());
  CHECK(One.sendStream(HostId{0}, "x", Tasks.Now() + 10s).error() ==
        PeerError::Unreachable);
  CHECK(One.sendStream(HostId{2}, "x", Tasks.Now() + 10s).error() ==
        PeerError::Unreachable);
  SecondPort = Two.port();
  CHECK(One.sendStream(HostId{2}, "y", Tasks.Now() + 10s));
  CHECK(Second.Frames.pop(Tasks, Tasks.Now() + 10s)->second == "y");
}

TEST_CASE("a port that is taken is refused") {
  RealRuntime Threads;
  Mailbox First;
  std::uint16_t Port = 0;
  PeerSockets One({"127.0.0.1", 0}, Threads.hooks(), First.hooksTo(Port));
  REQUIRE(One.start());
  PeerSockets Two({"127.0.0.1", One.port()}, Threads.hooks(),
                  First.hooksTo(Port));
  CHECK(Two.start().error() == PeerError::Unreachable);
}
