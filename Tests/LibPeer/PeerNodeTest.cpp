#include "LibPeer/PeerNode.h"
#include "LibStandin/VirtualNetwork.h"
#include "LibTask/VirtualRuntime.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t Kind = FirstMessageKind;

KeyRing keys() {
  return KeyRing::parse(R"({"signWith":1,"keys":{"1":")" +
                        std::string(64, 'a') + "\"}}")
      .value();
}

PeerHooks makeHooks(VirtualNetwork &Link, HostId Self,
                    std::map<std::error_code, std::uint64_t> &Reports) {
  PeerHooks Hooks;
  Hooks.SendDatagram = [&Link, Self](HostId To, std::string Bytes) {
    Link.sendDatagram(Self, To, std::move(Bytes));
  };
  Hooks.SendStream = [&Link, Self](HostId To, std::string Bytes,
                                   TimePoint) -> Result<void> {
    if (!Link.sendStream(Self, To, std::move(Bytes)))
      return PeerError::Unreachable;
    return success();
  };
  Hooks.Report = [&Reports](std::error_code Reason, std::uint64_t Count) {
    (void)Count;
    ++Reports[Reason];
  };
  return Hooks;
}

struct Host {
  Host(VirtualNetwork &Link, const Runtime &Tasks, Incarnation Self)
      : Node(Self, keys(), Tasks, makeHooks(Link, Self.Host, this->Reports), {},
             Self.Run) {
    Link.attach(
        Self.Host,
        [this](HostId, std::string Bytes) {
          this->Node.receiveFrame(PeerTransport::Datagram, std::move(Bytes));
        },
        [this](HostId, std::string Bytes) {
          this->Node.receiveFrame(PeerTransport::Stream, std::move(Bytes));
        });
    this->Node.setHandler(
        Kind,
        [this](const Incarnation &, std::string_view Body) -> Result<void> {
          this->ReceivedBodies.emplace_back(Body);
          return success();
        });
    this->Node.start();
  }

  /// The number of reports for each reason.
  std::map<std::error_code, std::uint64_t> Reports;
  std::vector<std::string> ReceivedBodies;
  PeerNode Node;
};

} // namespace

TEST_CASE("reliable messages arrive in order after a partition heals") {
  VirtualRuntime Simulated;
  VirtualNetwork Link(Simulated.hooks(), 3);
  Link.Faults.Loss = 0.3;
  Link.start();
  Host One(Link, Simulated.hooks(), {HostId{1}, 11});
  Host Other(Link, Simulated.hooks(), {HostId{2}, 22});
  Link.partition({HostId{1}});
  for (int Count = 0; Count < 20; ++Count)
    CHECK(One.Node.sendReliably(HostId{2}, Kind, std::to_string(Count)));
  Simulated.runFor(5s);
  CHECK(Other.ReceivedBodies.empty());
  Link.heal();
  CHECK(Simulated.runUntil([&] { return Other.ReceivedBodies.size() == 20; },
                           10s));
  for (int Count = 0; Count < 20; ++Count)
    CHECK(Other.ReceivedBodies[Count] == std::to_string(Count));
  One.Node.stop();
  Other.Node.stop();
  Link.stop();
  Simulated.runFor(5s);
}

TEST_CASE("duplicate and malformed frames are refused, and reported at a "
          "bounded rate") {
  VirtualRuntime Simulated;
  VirtualNetwork Link(Simulated.hooks(), 3);
  Link.Faults.Duplication = 1;
  Link.Faults.Jitter = 5ms;
  Link.start();
  Host One(Link, Simulated.hooks(), {HostId{1}, 11});
  Host Other(Link, Simulated.hooks(), {HostId{2}, 22});
  One.Node.send(HostId{2}, Kind, "lost, since there is no session yet");
  Simulated.runFor(1s);
  for (int Count = 0; Count < 100; ++Count)
    One.Node.send(HostId{2}, Kind, std::to_string(Count));
  Simulated.runFor(1s);
  CHECK(Other.ReceivedBodies.size() == 100);
  CHECK(Other.Node.refusals().total(PeerError::Replayed) == 100);
  for (int Count = 0; Count < 1000; ++Count) {
    Other.Node.receiveFrame(PeerTransport::Datagram, "garbage");
    Simulated.runFor(10ms);
  }
  CHECK(Other.Node.refusals().total(PeerError::Malformed) == 1000);
  // One report immediately, and one after the report interval of 10 s.
  CHECK(Other.Reports[PeerError::Malformed] <= 2);
  Simulated.runFor(1s);
  One.Node.stop();
  Other.Node.stop();
  Link.stop();
  Simulated.runFor(5s);
}
