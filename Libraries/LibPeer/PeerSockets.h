/// \file
/// The sockets of the protocol between hosts: one UDP socket, one TCP listener,
/// and one kept TCP connection to each peer that was sent to.

#ifndef BERGAMOTHOOK_LIBPEER_PEERSOCKETS_H
#define BERGAMOTHOOK_LIBPEER_PEERSOCKETS_H

#include "LibPeer/PeerNode.h"

#include <memory>
#include <optional>

namespace bergamothook {

namespace detail {
class PeerSocketLoop;
} // namespace detail

/// An IP number and a port; UDP and TCP use the same one.
struct PeerAddress {
  std::string Address;
  std::uint16_t Port = 0;
};

struct PeerSocketHooks {
  /// Takes what came in. Called on the thread of the sockets.
  std::function<void(PeerTransport, std::string Bytes)> Receive;
  /// Tells where a host listens. Called from tasks of the runtime.
  std::function<std::optional<PeerAddress>(HostId)> Locate;
};

/// Moves frames on one thread of its own. It is told nothing of their content.
class PeerSockets {
public:
  PeerSockets(PeerAddress Listen, Runtime Tasks, PeerSocketHooks Hooks);
  ~PeerSockets();
  PeerSockets(const PeerSockets &) = delete;
  PeerSockets &operator=(const PeerSockets &) = delete;

  /// Takes the port, which no other process of this machine has then.
  /// PeerError::Unreachable if it is taken.
  Result<void> start();
  void stop();

  /// Sends a datagram that may be lost. Does not block.
  void sendDatagram(HostId To, const std::string &Bytes);

  /// Sends a frame over the connection to a peer. Blocks the calling task.
  Result<void> sendStream(HostId To, std::string Bytes, TimePoint Deadline);

  /// The port that was taken, after start().
  std::uint16_t port() const;

private:
  PeerAddress Listen;
  Runtime Tasks;
  PeerSocketHooks Hooks;
  std::shared_ptr<detail::PeerSocketLoop> Loop;
};

} // namespace bergamothook

#endif
