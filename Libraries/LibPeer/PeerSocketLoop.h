/// \file
/// The thread on which the sockets of the protocol between hosts are served.

#ifndef BERGAMOTHOOK_LIBPEER_PEERSOCKETLOOP_H
#define BERGAMOTHOOK_LIBPEER_PEERSOCKETLOOP_H

#include "LibPeer/PeerSockets.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <thread>

namespace bergamothook::detail {

/// What a task waits for while its frame is written.
struct PendingWrite {
  std::atomic<bool> IsDone = false;
  std::atomic<bool> IsWritten = false;
  Event Finished;

  void finish(bool WasWritten);
};

/// A frame with its length in front, as it goes over a connection.
struct OutgoingFrame {
  std::array<std::uint8_t, 4> Length{};
  std::string Bytes;
  std::shared_ptr<PendingWrite> Pending;
};

/// Owns the sockets. Everything but start(), stop() and sendDatagram() runs on
/// the loop's thread.
class PeerSocketLoop : public std::enable_shared_from_this<PeerSocketLoop> {
public:
  using Receive = std::function<void(PeerTransport, std::string)>;

  explicit PeerSocketLoop(Receive Take);

  Result<void> start(const PeerAddress &Listen);
  void stop();
  void sendDatagram(const PeerAddress &To, const std::string &Bytes);

  /// Queues a frame for the connection to \p To; any thread may call it.
  void write(const PeerAddress &To, std::string Bytes,
             std::shared_ptr<PendingWrite> Pending);

  std::uint16_t port() const { return this->Port; }

private:
  using Tcp = boost::asio::ip::tcp;
  using Udp = boost::asio::ip::udp;

  /// A connection of either direction.
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
  void readFrame(const std::shared_ptr<Connection> &From);
  void readBody(const std::shared_ptr<Connection> &From);
  void connect(const Tcp::endpoint &To,
               const std::shared_ptr<Connection> &Made);
  void writeNext(const Tcp::endpoint &To,
                 const std::shared_ptr<Connection> &Over);
  void drop(const Tcp::endpoint &To, const std::shared_ptr<Connection> &Over);

  Receive Take;
  boost::asio::io_context Context;
  Udp::socket Datagrams;
  Tcp::acceptor Acceptor;
  std::map<Tcp::endpoint, std::shared_ptr<Connection>> Connections;
  std::array<char, 65536> Buffer{};
  std::thread Thread;
  std::uint16_t Port = 0;
};

} // namespace bergamothook::detail

#endif
