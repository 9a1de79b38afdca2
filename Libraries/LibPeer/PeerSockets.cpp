#include "LibPeer/PeerSockets.h"

#include "LibPeer/PeerSocketLoop.h"

namespace bergamothook {

PeerSockets::PeerSockets(PeerAddress ListenAddress, Runtime Tasks,
                         PeerSocketHooks Hooks)
    : ListenAddress(std::move(ListenAddress)), Tasks(std::move(Tasks)),
      Hooks(std::move(Hooks)),
      Loop(std::make_shared<detail::PeerSocketLoop>(this->Hooks.Receive)) {}

PeerSockets::~PeerSockets() { this->stop(); }

Result<void> PeerSockets::start() {
  return this->Loop->start(this->ListenAddress);
}

void PeerSockets::stop() { this->Loop->stop(); }

void PeerSockets::sendDatagram(HostId To, const std::string &Bytes) {
  auto Peer = this->Hooks.Locate(To);
  if (Peer)
    this->Loop->sendDatagram(*Peer, Bytes);
}

Result<void> PeerSockets::sendStream(HostId To, std::string Bytes,
                                     TimePoint Deadline) {
  auto Peer = this->Hooks.Locate(To);
  if (!Peer)
    return PeerError::Unreachable;
  auto Pending = std::make_shared<detail::PendingWrite>();
  this->Loop->write(*Peer, std::move(Bytes), Pending);
  this->Tasks.waitUntil(Pending->Finished, Deadline,
                        [&Pending] { return Pending->IsDone.load(); });
  if (!Pending->IsWritten)
    return PeerError::Unreachable;
  return success();
}

std::uint16_t PeerSockets::port() const { return this->Loop->port(); }

} // namespace bergamothook
