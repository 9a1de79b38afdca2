/// \file
/// The sockets of the protocol between hosts, on a thread of their own.

#ifndef BERGAMOTHOOK_LIBPEER_PEERSOCKETS_H
#define BERGAMOTHOOK_LIBPEER_PEERSOCKETS_H

#include "LibPeer/PeerFrame.h"
#include "LibTask/Runtime.h"

#include <memory>

namespace bergamothook {

/// An IP address in numbers, and a port. UDP and TCP use the same port.
struct PeerAddress {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const PeerAddress &) const = default;
};

/// Sends and receives frames. A frame on TCP follows its length in four bytes.
/// A connection that sends a length out of range is closed, since its bytes
/// can't be told apart any more.
class PeerSockets {
public:
  /// Takes each frame that came in, on the thread of the sockets.
  using Receive = std::function<void(PeerTransport, std::string Bytes)>;

  PeerSockets(Runtime Tasks, Receive Take);
  ~PeerSockets();

  PeerSockets(const PeerSockets &) = delete;
  PeerSockets &operator=(const PeerSockets &) = delete;

  /// Starts to listen at \p Here. PeerError::Unreachable if it can't. The port
  /// 0 takes any that is free for both protocols.
  Result<void> listen(const PeerAddress &Here);

  /// The port that is listened at.
  std::uint16_t port() const;

  /// Sends a datagram. Any thread may call it.
  void sendDatagram(const PeerAddress &To, std::string Bytes);

  /// Sends a frame on the connection to \p To, opening it if need be. Blocks
  /// the calling task until the frame is handed to the system.
  Result<void> sendStream(const PeerAddress &To, std::string Bytes,
                          TimePoint Deadline);

private:
  struct Io;
  std::shared_ptr<Io> Sockets;
  Runtime Tasks;
};

} // namespace bergamothook

#endif
