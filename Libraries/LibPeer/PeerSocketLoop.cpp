#include "LibPeer/PeerSocketLoop.h"

namespace bergamothook::detail {

namespace asio = boost::asio;
using boost::system::error_code;

void PendingWrite::finish(bool WasWritten) {
  this->IsWritten = WasWritten;
  this->IsDone = true;
  this->Finished.notify();
}

PeerSocketLoop::PeerSocketLoop(ReceiveCallback OnReceive)
    : OnReceive(std::move(OnReceive)), DatagramSocket(Context),
      Acceptor(Context) {}

Result<void> PeerSocketLoop::start(const PeerAddress &Listen) {
  error_code Failure;
  auto Address = asio::ip::make_address(Listen.Address, Failure);
  if (Failure)
    return PeerError::Unreachable;
  Tcp::endpoint Endpoint(Address, Listen.Port);
  this->Acceptor.open(Endpoint.protocol(), Failure);
  this->Acceptor.set_option(Tcp::acceptor::reuse_address(true), Failure);
  this->Acceptor.bind(Endpoint, Failure);
  if (Failure)
    return PeerError::Unreachable;
  this->Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  this->Port = this->Acceptor.local_endpoint().port();
  Udp::endpoint DatagramEndpoint(Address, this->Port);
  this->DatagramSocket.open(DatagramEndpoint.protocol(), Failure);
  this->DatagramSocket.bind(DatagramEndpoint, Failure);
  if (Failure)
    return PeerError::Unreachable;
  this->DatagramSocket.non_blocking(true, Failure);
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
  // A datagram that the kernel can't buffer counts as lost.
  this->DatagramSocket.send_to(asio::buffer(Bytes),
                               Udp::endpoint(Address, To.Port), 0, Failure);
}

void PeerSocketLoop::receiveDatagram() {
  this->DatagramSocket.async_receive(
      asio::buffer(this->DatagramBuffer),
      [this](error_code Failure, std::size_t Size) {
        if (!Failure)
          this->OnReceive(PeerTransport::Datagram,
                          std::string(this->DatagramBuffer.data(), Size));
        if (Failure != asio::error::operation_aborted)
          this->receiveDatagram();
      });
}

void PeerSocketLoop::accept() {
  auto NewConnection = std::make_shared<Connection>(this->Context);
  this->Acceptor.async_accept(NewConnection->Socket,
                              [this, NewConnection](error_code Failure) {
                                if (!Failure)
                                  this->readFrame(NewConnection);
                                if (Failure != asio::error::operation_aborted)
                                  this->accept();
                              });
}

void PeerSocketLoop::readFrame(const std::shared_ptr<Connection> &Inbound) {
  asio::async_read(Inbound->Socket, asio::buffer(Inbound->Length),
                   [this, Inbound](error_code Failure, std::size_t) {
                     if (!Failure)
                       this->readBody(Inbound);
                   });
}

void PeerSocketLoop::readBody(const std::shared_ptr<Connection> &Inbound) {
  std::size_t Size = 0;
  for (std::uint8_t Byte : Inbound->Length)
    Size = Size << 8 | Byte;
  // Checked before the allocation, since the sender is not authenticated yet.
  if (Size > maxFrameBytes(PeerTransport::Stream))
    return;
  Inbound->Incoming.resize(Size);
  asio::async_read(Inbound->Socket, asio::buffer(Inbound->Incoming),
                   [this, Inbound](error_code Failure, std::size_t) {
                     if (Failure)
                       return;
                     this->OnReceive(PeerTransport::Stream, Inbound->Incoming);
                     this->readFrame(Inbound);
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
    for (std::size_t Index = 0; Index < Frame.Length.size(); ++Index)
      Frame.Length[Index] =
          static_cast<std::uint8_t>(Size >> (8 * (3 - Index)));
    Frame.Bytes = std::move(Bytes);
    Frame.Pending = std::move(Pending);

    Tcp::endpoint Endpoint(Address, To.Port);
    auto &Outbound = this->Connections[Endpoint];
    bool IsNew = !Outbound;
    if (IsNew)
      Outbound = std::make_shared<Connection>(this->Context);
    Outbound->Outgoing.push_back(std::move(Frame));
    if (IsNew)
      this->connect(Endpoint, Outbound);
    else if (Outbound->IsConnected && Outbound->Outgoing.size() == 1)
      this->writeNext(Endpoint, Outbound);
  });
}

void PeerSocketLoop::connect(const Tcp::endpoint &To,
                             const std::shared_ptr<Connection> &NewConnection) {
  NewConnection->Socket.async_connect(
      To, [this, To, NewConnection](error_code Failure) {
        if (Failure)
          return this->dropConnection(To, NewConnection);
        error_code Ignored;
        NewConnection->Socket.set_option(Tcp::no_delay(true), Ignored);
        NewConnection->IsConnected = true;
        this->writeNext(To, NewConnection);
      });
}

void PeerSocketLoop::writeNext(const Tcp::endpoint &To,
                               const std::shared_ptr<Connection> &Outbound) {
  if (Outbound->Outgoing.empty())
    return;
  const OutgoingFrame &Frame = Outbound->Outgoing.front();
  std::array<asio::const_buffer, 2> Buffers{asio::buffer(Frame.Length),
                                            asio::buffer(Frame.Bytes)};
  asio::async_write(Outbound->Socket, Buffers,
                    [this, To, Outbound](error_code Failure, std::size_t) {
                      if (Failure)
                        return this->dropConnection(To, Outbound);
                      Outbound->Outgoing.front().Pending->finish(true);
                      Outbound->Outgoing.pop_front();
                      this->writeNext(To, Outbound);
                    });
}

void PeerSocketLoop::dropConnection(
    const Tcp::endpoint &To, const std::shared_ptr<Connection> &Outbound) {
  for (OutgoingFrame &Frame : Outbound->Outgoing)
    Frame.Pending->finish(false);
  Outbound->Outgoing.clear();
  auto Found = this->Connections.find(To);
  if (Found != this->Connections.end() && Found->second == Outbound)
    this->Connections.erase(Found);
}

} // namespace bergamothook::detail
