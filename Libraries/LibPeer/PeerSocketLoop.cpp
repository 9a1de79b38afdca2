#include "LibPeer/PeerSocketLoop.h"

namespace bergamothook::detail {

namespace asio = boost::asio;
using boost::system::error_code;

void PendingWrite::finish(bool WasWritten) {
  this->IsWritten = WasWritten;
  this->IsDone = true;
  this->Finished.notify();
}

PeerSocketLoop::PeerSocketLoop(Receive Take)
    : Take(std::move(Take)), Datagrams(Context), Acceptor(Context) {}

Result<void> PeerSocketLoop::start(const PeerAddress &Listen) {
  error_code Failure;
  auto Address = asio::ip::make_address(Listen.Address, Failure);
  if (Failure)
    return PeerError::Unreachable;
  Tcp::endpoint At(Address, Listen.Port);
  this->Acceptor.open(At.protocol(), Failure);
  this->Acceptor.set_option(Tcp::acceptor::reuse_address(true), Failure);
  this->Acceptor.bind(At, Failure);
  if (Failure)
    return PeerError::Unreachable;
  this->Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  this->Port = this->Acceptor.local_endpoint().port();
  Udp::endpoint DatagramsAt(Address, this->Port);
  this->Datagrams.open(DatagramsAt.protocol(), Failure);
  this->Datagrams.bind(DatagramsAt, Failure);
  if (Failure)
    return PeerError::Unreachable;
  this->Datagrams.non_blocking(true, Failure);
  this->receiveDatagram();
  this->accept();
  this->Thread =
      std::thread([Self = this->shared_from_this()] { Self->Context.run(); });
  return success();
}

void PeerSocketLoop::stop() {
  this->Context.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void PeerSocketLoop::sendDatagram(const PeerAddress &To,
                                  const std::string &Bytes) {
  error_code Failure;
  auto Address = asio::ip::make_address(To.Address, Failure);
  if (Failure)
    return;
  // A datagram that the system has no room for counts as lost.
  this->Datagrams.send_to(asio::buffer(Bytes), Udp::endpoint(Address, To.Port),
                          0, Failure);
}

void PeerSocketLoop::receiveDatagram() {
  this->Datagrams.async_receive(
      asio::buffer(this->Buffer), [this](error_code Failure, std::size_t Size) {
        if (!Failure)
          this->Take(PeerTransport::Datagram,
                     std::string(this->Buffer.data(), Size));
        if (Failure != asio::error::operation_aborted)
          this->receiveDatagram();
      });
}

void PeerSocketLoop::accept() {
  auto Made = std::make_shared<Connection>(this->Context);
  this->Acceptor.async_accept(Made->Socket, [this, Made](error_code Failure) {
    if (!Failure)
      this->readFrame(Made);
    if (Failure != asio::error::operation_aborted)
      this->accept();
  });
}

void PeerSocketLoop::readFrame(const std::shared_ptr<Connection> &From) {
  asio::async_read(From->Socket, asio::buffer(From->Length),
                   [this, From](error_code Failure, std::size_t) {
                     if (!Failure)
                       this->readBody(From);
                   });
}

void PeerSocketLoop::readBody(const std::shared_ptr<Connection> &From) {
  std::size_t Size = 0;
  for (std::uint8_t Byte : From->Length)
    Size = Size << 8 | Byte;
  // A stranger's length is not worth any memory.
  if (Size > maxFrameBytes(PeerTransport::Stream))
    return;
  From->Incoming.resize(Size);
  asio::async_read(From->Socket, asio::buffer(From->Incoming),
                   [this, From](error_code Failure, std::size_t) {
                     if (Failure)
                       return;
                     this->Take(PeerTransport::Stream, From->Incoming);
                     this->readFrame(From);
                   });
}

void PeerSocketLoop::write(const PeerAddress &To, std::string Bytes,
                           std::shared_ptr<PendingWrite> Pending) {
  asio::post(this->Context, [this, To, Bytes = std::move(Bytes),
                             Pending = std::move(Pending)]() mutable {
    error_code Failure;
    auto Address = asio::ip::make_address(To.Address, Failure);
    if (Failure)
      return Pending->finish(false);
    OutgoingFrame Frame;
    auto Size = static_cast<std::uint32_t>(Bytes.size());
    for (std::size_t Place = 0; Place < Frame.Length.size(); ++Place)
      Frame.Length[Place] =
          static_cast<std::uint8_t>(Size >> (8 * (3 - Place)));
    Frame.Bytes = std::move(Bytes);
    Frame.Pending = std::move(Pending);

    Tcp::endpoint At(Address, To.Port);
    auto &Known = this->Connections[At];
    bool IsNew = !Known;
    if (IsNew)
      Known = std::make_shared<Connection>(this->Context);
    Known->Outgoing.push_back(std::move(Frame));
    if (IsNew)
      this->connect(At, Known);
    else if (Known->IsConnected && Known->Outgoing.size() == 1)
      this->writeNext(At, Known);
  });
}

void PeerSocketLoop::connect(const Tcp::endpoint &To,
                             const std::shared_ptr<Connection> &Made) {
  Made->Socket.async_connect(To, [this, To, Made](error_code Failure) {
    if (Failure)
      return this->drop(To, Made);
    error_code Ignored;
    Made->Socket.set_option(Tcp::no_delay(true), Ignored);
    Made->IsConnected = true;
    this->writeNext(To, Made);
  });
}

void PeerSocketLoop::writeNext(const Tcp::endpoint &To,
                               const std::shared_ptr<Connection> &Over) {
  if (Over->Outgoing.empty())
    return;
  const OutgoingFrame &Frame = Over->Outgoing.front();
  std::array<asio::const_buffer, 2> Parts{asio::buffer(Frame.Length),
                                          asio::buffer(Frame.Bytes)};
  asio::async_write(Over->Socket, Parts,
                    [this, To, Over](error_code Failure, std::size_t) {
                      if (Failure)
                        return this->drop(To, Over);
                      Over->Outgoing.front().Pending->finish(true);
                      Over->Outgoing.pop_front();
                      this->writeNext(To, Over);
                    });
}

void PeerSocketLoop::drop(const Tcp::endpoint &To,
                          const std::shared_ptr<Connection> &Over) {
  for (OutgoingFrame &Frame : Over->Outgoing)
    Frame.Pending->finish(false);
  Over->Outgoing.clear();
  auto Known = this->Connections.find(To);
  if (Known != this->Connections.end() && Known->second == Over)
    this->Connections.erase(Known);
}

} // namespace bergamothook::detail
