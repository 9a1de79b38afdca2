#include "LibPeer/PeerSockets.h"
#include "LibPeer/PeerError.h"
#include "LibTask/RealRuntime.h"

#include <doctest/doctest.h>
#include <mutex>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

/// Collects frames from the thread of the sockets.
struct Inbox {
  PeerSockets::Receive receiver() {
    return [this](PeerTransport Transport, std::string Bytes) {
      {
        std::lock_guard Guard(this->Lock);
        this->Frames.emplace_back(Transport, std::move(Bytes));
      }
      this->Came.notify();
    };
  }

  std::size_t size() {
    std::lock_guard Guard(this->Lock);
    return this->Frames.size();
  }

  std::mutex Lock;
  std::vector<std::pair<PeerTransport, std::string>> Frames;
  Event Came;
};

} // namespace

TEST_CASE("frames arrive over real sockets, and a dead peer is an error") {
  RealRuntime Threads;
  Runtime Tasks = Threads.hooks();
  Inbox Taken;
  Inbox Unused;
  PeerSockets Receiver(Tasks, Taken.receiver());
  PeerSockets Sender(Tasks, Unused.receiver());
  REQUIRE(Receiver.listen({"127.0.0.1", 0}));
  REQUIRE(Sender.listen({"127.0.0.1", 0}));
  PeerAddress There{"127.0.0.1", Receiver.port()};
  const std::string Large(MaxStreamFrameBytes, 'x');
  std::vector<Result<void>> Sent;
  Threads.post([&] {
    for (const auto &Frame : {std::string("one"), Large, std::string("two")})
      Sent.push_back(Sender.sendStream(There, Frame, Tasks.Now() + 5s));
    // A frame above the limit makes the receiver close the connection.
    (void)Sender.sendStream(There, Large + "x", Tasks.Now() + 5s);
    (void)Sender.sendStream({"127.0.0.1", 1}, "x", Tasks.Now() + 5s);
    Sent.push_back(Sender.sendStream({"no address", 1}, "x", Tasks.Now() + 5s));
    Sender.sendDatagram(There, "three");
    Tasks.waitUntil(Taken.Came, Tasks.Now() + 5s,
                    [&] { return Taken.size() >= 4; });
    Threads.stop();
  });
  Threads.run();
  REQUIRE(Sent.size() == 4);
  CHECK(Sent[0]);
  CHECK(Sent[1]);
  CHECK(Sent[2]);
  CHECK(Sent[3].error() == PeerError::Unreachable);
  REQUIRE(Taken.Frames.size() == 4);
  CHECK(Taken.Frames[0].second == "one");
  CHECK(Taken.Frames[1].second == Large);
  CHECK(Taken.Frames[2].second == "two");
  CHECK(Taken.Frames[3] ==
        std::pair(PeerTransport::Datagram, std::string("three")));
}
