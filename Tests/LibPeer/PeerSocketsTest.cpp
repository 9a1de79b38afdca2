#include "LibPeer/PeerSockets.h"
#include "LibTask/RealRuntime.h"

#include <doctest/doctest.h>
#include <thread>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// Collects the frames that one endpoint received.
struct Mailbox {
  PeerSocketHooks makeHooks(std::uint16_t &Port) {
    PeerSocketHooks Hooks;
    Hooks.Receive = [this](PeerTransport Transport, std::string Bytes) {
      this->Frames.push({Transport, std::move(Bytes)});
    };
    Hooks.Locate = [&Port](HostId Host) -> std::optional<PeerAddress> {
      if (Host.Value == 0)
        return std::nullopt;
      return PeerAddress{"127.0.0.1", Port};
    };
    return Hooks;
  }

  Channel<std::pair<PeerTransport, std::string>> Frames{100};
};

} // namespace

TEST_CASE(
    "datagrams and stream frames arrive intact over the loopback interface") {
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  Mailbox First;
  Mailbox Second;
  std::uint16_t FirstPort = 0;
  std::uint16_t SecondPort = 0;
  PeerSockets One({"127.0.0.1", 0}, Tasks, First.makeHooks(SecondPort));
  PeerSockets Two({"127.0.0.1", 0}, Tasks, Second.makeHooks(FirstPort));
  REQUIRE(One.start());
  REQUIRE(Two.start());
  FirstPort = One.port();
  SecondPort = Two.port();

  One.sendDatagram(HostId{2}, "small");
  auto SmallFrame = Second.Frames.pop(Tasks, Tasks.Now() + 10s);
  REQUIRE(SmallFrame);
  CHECK(SmallFrame->first == PeerTransport::Datagram);
  CHECK(SmallFrame->second == "small");

  std::string Large(60'000, 'x');
  CHECK(One.sendStream(HostId{2}, Large, Tasks.Now() + 10s));
  CHECK(One.sendStream(HostId{2}, "next", Tasks.Now() + 10s));
  auto LargeFrame = Second.Frames.pop(Tasks, Tasks.Now() + 10s);
  REQUIRE(LargeFrame);
  CHECK(LargeFrame->first == PeerTransport::Stream);
  CHECK(LargeFrame->second == Large);
  CHECK(Second.Frames.pop(Tasks, Tasks.Now() + 10s)->second == "next");
}

TEST_CASE("a frame to an unreachable host fails, and later ones still arrive") {
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  Mailbox First;
  Mailbox Second;
  std::uint16_t FirstPort = 0;
  std::uint16_t SecondPort = 1;
  PeerSockets One({"127.0.0.1", 0}, Tasks, First.makeHooks(SecondPort));
  PeerSockets Two({"127.0.0.1", 0}, Tasks, Second.makeHooks(FirstPort));
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

TEST_CASE("start() fails on a port that is in use") {
  RealRuntime Threads;
  Mailbox First;
  std::uint16_t Port = 0;
  PeerSockets One({"127.0.0.1", 0}, Threads.hooks(), First.makeHooks(Port));
  REQUIRE(One.start());
  PeerSockets Two({"127.0.0.1", One.port()}, Threads.hooks(),
                  First.makeHooks(Port));
  CHECK(Two.start().error() == PeerError::Unreachable);
}
