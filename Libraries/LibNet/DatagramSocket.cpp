#include "LibNet/DatagramSocket.h"

#include "LibNet/NetError.h"
#include "LibNet/TcpConnection.h"

namespace bergamothook {

using boost::asio::ip::udp;

namespace {

/// The largest datagram of UDP.
constexpr std::size_t MaxDatagram = 65'536;
/// Datagrams read in one go, so that a flood does not starve connections.
constexpr int ReadsAtOnce = 64;
/// Addresses that are remembered.
constexpr std::size_t MaxKnown = 10'000;

Result<udp::endpoint> parseAddress(const std::string &Address) {
  // Port 0 is valid for listening only.
  bool IsAnyPort = Address.ends_with(":0");
  BOOST_OUTCOME_TRY(Parsed, parseEndpoint(IsAnyPort ? Address + "1" : Address));
  return udp::endpoint(Parsed.address(), IsAnyPort ? 0 : Parsed.port());
}

} // namespace

DatagramSocket::DatagramSocket(NetRuntime &Loop, std::string Address,
                               Take Handler)
    : Address(std::move(Address)), Handler(std::move(Handler)),
      Socket(Loop.context()), Buffer(MaxDatagram) {}

Result<void> DatagramSocket::start() {
  BOOST_OUTCOME_TRY(Where, parseAddress(this->Address));
  try {
    this->Socket.open(Where.protocol());
    this->Socket.bind(Where);
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
  for (int I = 0; I < ReadsAtOnce; ++I) {
    udp::endpoint From;
    boost::system::error_code Problem;
    std::size_t Count = this->Socket.receive_from(
        boost::asio::buffer(this->Buffer), From, 0, Problem);
    // An error of an earlier send, such as a closed port, is reported here.
    if (Problem)
      break;
    this->Handler(std::string(this->Buffer.data(), Count));
  }
  this->receiveNext();
}

const udp::endpoint *DatagramSocket::resolve(const std::string &Text) {
  auto Found = this->Known.find(Text);
  if (Found != this->Known.end())
    return &Found->second;
  auto Parsed = parseAddress(Text);
  if (!Parsed)
    return nullptr;
  if (this->Known.size() >= MaxKnown)
    this->Known.clear();
  return &this->Known.emplace(Text, Parsed.value()).first->second;
}

void DatagramSocket::send(const std::string &To, const std::string &Bytes) {
  const udp::endpoint *Where = this->resolve(To);
  boost::system::error_code Problem;
  if (Where)
    this->Socket.send_to(boost::asio::buffer(Bytes), *Where, 0, Problem);
  if (!Where || Problem)
    ++this->LostHere;
}

} // namespace bergamothook
