/// \file
/// The sockets of the protocol between hosts: one UDP socket, one TCP listener,
/// and one persistent outbound TCP connection to each peer.

#ifndef BERGAMOTHOOK_LIBPEER_PEERSOCKETS_H
#define BERGAMOTHOOK_LIBPEER_PEERSOCKETS_H

#include "LibPeer/PeerNode.h"

#include <memory>
#include <optional>

namespace bergamothook {

namespace detail {
class PeerSocketLoop;
} // namespace detail

/// An IP address and a port. UDP and TCP use the same port.
struct PeerAddress {
  std::string Address;
  std::uint16_t Port = 0;
};

struct PeerSocketHooks {
  /// Handles a received frame. Called on the thread of the event loop.
  std::function<void(PeerTransport, std::string Bytes)> Receive;
  /// Looks up the address of a host. Called from tasks of the runtime.
  std::function<std::optional<PeerAddress>(HostId)> Locate;
};

/// Sends and receives frames on a thread of its own, without decoding them.
class PeerSockets {
public:
  PeerSockets(PeerAddress ListenAddress, Runtime Tasks, PeerSocketHooks Hooks);
  ~PeerSockets();
  PeerSockets(const PeerSockets &) = delete;
  PeerSockets &operator=(const PeerSockets &) = delete;

  /// Binds the port, which no other process on this machine can use then, and
  /// starts the thread. Fails with PeerError::Unreachable if the address is
  /// invalid or the port is in use.
  Result<void> start();
  void stop();

  /// Sends a datagram that may be lost. Does not block.
  void sendDatagram(HostId To, const std::string &Bytes);

  /// Sends a frame over the connection to a peer, and connects first if
  /// necessary. Blocks the calling task until the frame is written. Fails with
  /// PeerError::Unreachable on failure or at \p Deadline.
  Result<void> sendStream(HostId To, std::string Bytes, TimePoint Deadline);

  /// The bound port, after start().
  std::uint16_t port() const;

private:
  PeerAddress ListenAddress;
  Runtime Tasks;
  PeerSocketHooks Hooks;
  std::shared_ptr<detail::PeerSocketLoop> Loop;
};

} // namespace bergamothook

#endif
