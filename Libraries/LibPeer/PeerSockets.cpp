#include "LibPeer/PeerSockets.h"

#include "LibPeer/PeerError.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <thread>

namespace bergamothook {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t MaxIncomingConnections = 256;

std::string lengthOf(const std::string &Bytes) {
  std::string Length;
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte)
    Length.push_back(static_cast<char>(Bytes.size() >> (8 * Byte)));
  return Length;
}

std::size_t readLength(const std::array<unsigned char, LengthBytes> &Bytes) {
  std::size_t Length = 0;
  for (std::size_t Byte = LengthBytes; Byte-- > 0;)
    Length = Length << 8 | Bytes[Byte];
  return Length;
}

/// What a sending task waits for. It outlives the task that gave up.
struct Pending {
  Event Done;
  std::atomic<bool> IsDone = false;
  std::atomic<bool> IsSent = false;

  void finish(bool Sent) {
    this->IsSent = Sent;
    this->IsDone = true;
    this->Done.notify();
  }
};

struct Queued {
  std::string Bytes;
  std::shared_ptr<Pending> Waiting;
};

} // namespace

/// All that belongs to the thread of the sockets.
struct PeerSockets::Io : std::enable_shared_from_this<PeerSockets::Io> {
  /// A connection that this host has opened, with what waits for it.
  struct Outgoing {
    std::optional<tcp::socket> Socket;
    std::deque<Queued> Queue;
    bool IsBusy = false;
    bool IsConnected = false;
  };

  /// A connection that another host has opened.
  struct Incoming {
    explicit Incoming(tcp::socket Socket) : Socket(std::move(Socket)) {}

    tcp::socket Socket;
    std::array<unsigned char, LengthBytes> Length{};
    std::string Frame;
  };

  explicit Io(Receive Take) : Take(std::move(Take)) {}

  void open(const PeerAddress &Here) {
    auto Address = asio::ip::make_address(Here.Address);
    this->Acceptor.emplace(this->Context, tcp::endpoint(Address, Here.Port));
    this->Port = this->Acceptor->local_endpoint().port();
    this->Datagrams.emplace(this->Context, udp::endpoint(Address, this->Port));
  }

  void run() {
    this->receiveDatagram();
    this->accept();
    this->Thread = std::thread([this] { this->Context.run(); });
  }

  void receiveDatagram() {
    this->Datagrams->async_receive_from(
        asio::buffer(this->Buffer), this->Sender,
        [this](const error_code &Failure, std::size_t Length) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure)
            this->Take(PeerTransport::Datagram,
                       std::string(this->Buffer.data(), Length));
          this->receiveDatagram();
        });
  }

  void accept() {
    this->Acceptor->async_accept(
        [this](const error_code &Failure, tcp::socket Socket) {
          if (Failure == asio::error::operation_aborted)
            return;
          if (!Failure && this->Connections.size() < MaxIncomingConnections) {
            std::uint64_t Id = ++this->LastConnection;
            this->Connections.emplace(
                Id, std::make_unique<Incoming>(std::move(Socket)));
            this->readFrame(Id);
          }
          this->accept();
        });
  }

  void readFrame(std::uint64_t Id) {
    Incoming &Connection = *this->Connections[Id];
    asio::async_read(
        Connection.Socket, asio::buffer(Connection.Length),
        [this, Id](const error_code &Failure, std::size_t) {
          Incoming &Present = *this->Connections[Id];
          std::size_t Length = readLength(Present.Length);
          if (Failure || Length == 0 || Length > MaxStreamFrameBytes) {
            this->Connections.erase(Id);
            return;
          }
          Present.Frame.resize(Length);
          asio::async_read(Present.Socket, asio::buffer(Present.Frame),
                           [this, Id](const error_code &Broken, std::size_t) {
                             if (Broken) {
                               this->Connections.erase(Id);
                               return;
                             }
                             this->Take(
                                 PeerTransport::Stream,
                                 std::move(this->Connections[Id]->Frame));
                             this->readFrame(Id);
                           });
        });
  }

  void send(const PeerAddress &To, Queued Frame) {
    Outgoing &Connection = this->Peers[To];
    Connection.Queue.push_back(std::move(Frame));
    if (!Connection.IsBusy)
      this->advance(To);
  }

  /// Connects, or writes the next frame of the queue.
  void advance(const PeerAddress &To) {
    Outgoing &Connection = this->Peers[To];
    Connection.IsBusy = !Connection.Queue.empty();
    if (Connection.Queue.empty())
      return;
    if (!Connection.IsConnected)
      this->connect(To);
    else
      this->write(To);
  }

  void connect(const PeerAddress &To) {
    Outgoing &Connection = this->Peers[To];
    error_code BadAddress;
    auto Address = asio::ip::make_address(To.Address, BadAddress);
    if (BadAddress) {
      this->fail(To);
      return;
    }
    Connection.Socket.emplace(this->Context);
    Connection.Socket->async_connect(
        tcp::endpoint(Address, To.Port), [this, To](const error_code &Failure) {
          // Whoever closed the socket has given back what waited for it.
          if (Failure == asio::error::operation_aborted)
            return;
          if (Failure) {
            this->fail(To);
            return;
          }
          Outgoing &Present = this->Peers[To];
          error_code Ignored;
          Present.Socket->set_option(tcp::no_delay(true), Ignored);
          Present.IsConnected = true;
          this->write(To);
        });
  }

  void write(const PeerAddress &To) {
    Outgoing &Connection = this->Peers[To];
    Queued &First = Connection.Queue.front();
    if (First.Waiting->IsDone) {
      // The sending task gave up before the frame was begun.
      Connection.Queue.pop_front();
      this->advance(To);
      return;
    }
    auto Whole =
        std::make_shared<std::string>(lengthOf(First.Bytes) + First.Bytes);
    asio::async_write(
        *Connection.Socket, asio::buffer(*Whole),
        [this, To, Whole](const error_code &Failure, std::size_t) {
          if (Failure) {
            this->fail(To);
            return;
          }
          Outgoing &Present = this->Peers[To];
          Present.Queue.front().Waiting->finish(true);
          Present.Queue.pop_front();
          this->advance(To);
        });
  }

  /// Closes the connection and gives back all that waited for it.
  void fail(const PeerAddress &To) {
    Outgoing &Connection = this->Peers[To];
    Connection.Socket.reset();
    Connection.IsConnected = false;
    Connection.IsBusy = false;
    for (auto &Frame : std::exchange(Connection.Queue, {}))
      Frame.Waiting->finish(false);
  }

  /// Closes the connection if a frame is stuck on it since its task gave up.
  void abandon(const PeerAddress &To, const std::shared_ptr<Pending> &Waiting) {
    Outgoing &Connection = this->Peers[To];
    if (!Connection.Queue.empty() &&
        Connection.Queue.front().Waiting == Waiting)
      this->fail(To);
  }

  Receive Take;
  asio::io_context Context;
  std::optional<tcp::acceptor> Acceptor;
  std::optional<udp::socket> Datagrams;
  /// One byte more than a datagram may have, so that a larger one is seen.
  std::array<char, MaxDatagramBytes + 1> Buffer{};
  udp::endpoint Sender;
  std::map<PeerAddress, Outgoing> Peers;
  std::map<std::uint64_t, std::unique_ptr<Incoming>> Connections;
  std::uint64_t LastConnection = 0;
  std::uint16_t Port = 0;
  std::thread Thread;
};

PeerSockets::PeerSockets(Runtime Tasks, Receive Take)
    : Sockets(std::make_shared<Io>(std::move(Take))), Tasks(std::move(Tasks)) {}

PeerSockets::~PeerSockets() {
  this->Sockets->Context.stop();
  if (this->Sockets->Thread.joinable())
    this->Sockets->Thread.join();
}

Result<void> PeerSockets::listen(const PeerAddress &Here) {
  try {
    this->Sockets->open(Here);
  } catch (const boost::system::system_error &) {
    return PeerError::Unreachable;
  }
  this->Sockets->run();
  return success();
}

std::uint16_t PeerSockets::port() const { return this->Sockets->Port; }

void PeerSockets::sendDatagram(const PeerAddress &To, std::string Bytes) {
  auto Io = this->Sockets;
  asio::post(Io->Context, [Io, To, Bytes = std::move(Bytes)] {
    error_code Ignored;
    auto Address = asio::ip::make_address(To.Address, Ignored);
    if (!Ignored)
      Io->Datagrams->send_to(asio::buffer(Bytes),
                             udp::endpoint(Address, To.Port), 0, Ignored);
  });
}

Result<void> PeerSockets::sendStream(const PeerAddress &To, std::string Bytes,
                                     TimePoint Deadline) {
  auto Waiting = std::make_shared<Pending>();
  auto Io = this->Sockets;
  asio::post(Io->Context,
             [Io, To, Waiting, Bytes = std::move(Bytes)]() mutable {
               Io->send(To, {std::move(Bytes), Waiting});
             });
  bool IsDone = this->Tasks.waitUntil(Waiting->Done, Deadline,
                                      [&] { return Waiting->IsDone.load(); });
  if (!IsDone) {
    Waiting->IsDone = true;
    asio::post(Io->Context, [Io, To, Waiting] { Io->abandon(To, Waiting); });
  }
  if (!Waiting->IsSent)
    return PeerError::Unreachable;
  return success();
}

} // namespace bergamothook
