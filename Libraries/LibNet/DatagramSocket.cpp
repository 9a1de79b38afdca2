#include "LibNet/DatagramSocket.h"

#include "LibNet/NetError.h"
#include "LibNet/TcpConnection.h"

#include <new>

namespace bergamothook {

using boost::asio::ip::udp;

namespace {

/// Upper bound of the size of a UDP datagram.
constexpr std::size_t MaxDatagramBytes = 65'536;
/// Bounds the datagrams read per wakeup so that a flood does not starve
/// connections.
constexpr int MaxReadsPerWakeup = 64;
constexpr std::size_t MaxResolvedEndpoints = 10'000;

Result<udp::endpoint> parseAddress(const std::string &Address) {
  // Port 0 is valid for listening only.
  bool IsAnyPort = Address.ends_with(":0");
  BOOST_OUTCOME_TRY(Parsed, parseEndpoint(IsAnyPort ? Address + "1" : Address));
  return udp::endpoint(Parsed.address(), IsAnyPort ? 0 : Parsed.port());
}

} // namespace

DatagramSocket::DatagramSocket(NetRuntime &Loop, std::string Address,
                               ReceiveHandler Handler)
    : Traffic(Loop.traffic(TrafficClass::Service)), Address(std::move(Address)),
      Handler(std::move(Handler)), Socket(Loop.context()),
      Buffer(MaxDatagramBytes) {}

Result<void> DatagramSocket::start() {
  BOOST_OUTCOME_TRY(Endpoint, parseAddress(this->Address));
  try {
    this->Socket.open(Endpoint.protocol());
    this->Socket.bind(Endpoint);
    this->Socket.non_blocking(true);
    this->Port = this->Socket.local_endpoint().port();
  } catch (const boost::system::system_error &Failure) {
    return std::error_code(Failure.code().value(), std::generic_category());
  }
  this->receiveNext();
  return success();
}

void DatagramSocket::stop() {
  boost::system::error_code Ignored; // Closing a socket can't be retried.
  this->Socket.close(Ignored);
}

void DatagramSocket::receiveNext() {
  if (!this->Socket.is_open())
    return;
  this->Socket.async_wait(udp::socket::wait_read,
                          [this](const boost::system::error_code &Failure) {
                            this->onReadable(Failure);
                          });
}

void DatagramSocket::onReadable(const boost::system::error_code &Failure) {
  if (Failure || !this->Socket.is_open())
    return;
  for (int I = 0; I < MaxReadsPerWakeup; ++I) {
    udp::endpoint From;
    boost::system::error_code ReceiveFailure;
    std::size_t Count = this->Socket.receive_from(
        boost::asio::buffer(this->Buffer), From, 0, ReceiveFailure);
    // Also reports errors of earlier sends, such as an unreachable port.
    if (ReceiveFailure)
      break;
    this->Traffic->BytesReceived += Count;
    try {
      this->Handler(std::string(this->Buffer.data(), Count));
    } catch (const std::bad_alloc &) {
      // Datagrams may be lost anyway.
    }
  }
  this->receiveNext();
}

const udp::endpoint *DatagramSocket::resolve(const std::string &Text) {
  auto Found = this->ResolvedEndpoints.find(Text);
  if (Found != this->ResolvedEndpoints.end())
    return &Found->second;
  auto Parsed = parseAddress(Text);
  if (!Parsed)
    return nullptr;
  if (this->ResolvedEndpoints.size() >= MaxResolvedEndpoints)
    this->ResolvedEndpoints.clear();
  return &this->ResolvedEndpoints.emplace(Text, Parsed.value()).first->second;
}

void DatagramSocket::send(const std::string &To, const std::string &Bytes) {
  const udp::endpoint *Endpoint = this->resolve(To);
  boost::system::error_code SendFailure;
  if (Endpoint)
    this->Socket.send_to(boost::asio::buffer(Bytes), *Endpoint, 0, SendFailure);
  if (!Endpoint || SendFailure)
    ++this->SendFailures;
  else
    this->Traffic->BytesSent += Bytes.size();
}

} // namespace bergamothook
