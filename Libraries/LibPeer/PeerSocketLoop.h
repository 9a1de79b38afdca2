/// \file
/// The event loop thread for the sockets of the protocol between hosts.

#ifndef BERGAMOTHOOK_LIBPEER_PEERSOCKETLOOP_H
#define BERGAMOTHOOK_LIBPEER_PEERSOCKETLOOP_H

#include "LibPeer/PeerSockets.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <thread>

namespace bergamothook::detail {

/// The completion of a write, which the sending task waits for.
struct PendingWrite {
  std::atomic<bool> IsDone = false;
  std::atomic<bool> IsWritten = false;
  Event Finished;

  void finish(bool WasWritten);
};

/// A length-prefixed frame to write to a connection. The length is in network
/// byte order.
struct OutgoingFrame {
  std::array<std::uint8_t, 4> Length{};
  std::string Bytes;
  std::shared_ptr<PendingWrite> Pending;
};

/// Owns the sockets. All functions but the public ones run on the thread of the
/// event loop.
class PeerSocketLoop : public std::enable_shared_from_this<PeerSocketLoop> {
public:
  using ReceiveCallback = std::function<void(PeerTransport, std::string)>;

  explicit PeerSocketLoop(ReceiveCallback OnReceive);

  Result<void> start(const PeerAddress &Listen);
  void stop();
  void sendDatagram(const PeerAddress &To, const std::string &Bytes);

  /// Queues a frame for the connection to \p To. Any thread may call this.
  void write(const PeerAddress &To, std::string Bytes,
             std::shared_ptr<PendingWrite> Pending);

  std::uint16_t port() const { return this->Port; }

private:
  using Tcp = boost::asio::ip::tcp;
  using Udp = boost::asio::ip::udp;

  /// An inbound or outbound connection.
  struct Connection {
    explicit Connection(boost::asio::io_context &Context) : Socket(Context) {}

    Tcp::socket Socket;
    bool IsConnected = false;
    std::array<std::uint8_t, 4> Length{};
    std::string Incoming;
    std::deque<OutgoingFrame> Outgoing;
  };

  void receiveDatagram();
  void accept();
  void readFrame(const std::shared_ptr<Connection> &Inbound);
  void readBody(const std::shared_ptr<Connection> &Inbound);
  void connect(const Tcp::endpoint &To,
               const std::shared_ptr<Connection> &NewConnection);
  void writeNext(const Tcp::endpoint &To,
                 const std::shared_ptr<Connection> &Outbound);
  void dropConnection(const Tcp::endpoint &To,
                      const std::shared_ptr<Connection> &Outbound);

  ReceiveCallback OnReceive;
  boost::asio::io_context Context;
  Udp::socket DatagramSocket;
  Tcp::acceptor Acceptor;
  std::map<Tcp::endpoint, std::shared_ptr<Connection>> Connections;
  std::array<char, 65536> DatagramBuffer{};
  std::thread Thread;
  std::uint16_t Port = 0;
};

} // namespace bergamothook::detail

#endif
