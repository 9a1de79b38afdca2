#include "LibPeer/PeerSockets.h"

#include "LibPeer/PeerSocketLoop.h"

namespace bergamothook {

PeerSockets::PeerSockets(PeerAddress Listen, Runtime Tasks,
                         PeerSocketHooks Hooks)
    : Listen(std::move(Listen)), Tasks(std::move(Tasks)),
      Hooks(std::move(Hooks)),
      Loop(std::make_shared<detail::PeerSocketLoop>(this->Hooks.Receive)) {}

PeerSockets::~PeerSockets() { this->stop(); }

Result<void> PeerSockets::start() { return this->Loop->start(this->Listen); }

void PeerSockets::stop() { this->Loop->stop(); }

void PeerSockets::sendDatagram(HostId To, const std::string &Bytes) {
  auto At = this->Hooks.Locate(To);
  if (At)
    this->Loop->sendDatagram(*At, Bytes);
}

Result<void> PeerSockets::sendStream(HostId To, std::string Bytes,
                                     TimePoint Deadline) {
  auto At = this->Hooks.Locate(To);
  if (!At)
    return PeerError::Unreachable;
  auto Pending = std::make_shared<detail::PendingWrite>();
  this->Loop->write(*At, std::move(Bytes), Pending);
  this->Tasks.waitUntil(Pending->Finished, Deadline,
                        [&Pending] { return Pending->IsDone.load(); });
  if (!Pending->IsWritten)
    return PeerError::Unreachable;
  return success();
}

std::uint16_t PeerSockets::port() const { return this->Loop->port(); }

} // namespace bergamothook
