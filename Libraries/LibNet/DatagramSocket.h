/// \file
/// A bound UDP socket. Datagrams may be lost, also on this host when the
/// kernel's socket buffers are full.

#ifndef BERGAMOTHOOK_LIBNET_DATAGRAMSOCKET_H
#define BERGAMOTHOOK_LIBNET_DATAGRAMSOCKET_H

#include "LibBase/Result.h"
#include "LibNet/NetRuntime.h"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamothook {

class DatagramSocket {
public:
  /// Handles a received datagram. Runs between tasks and must not block.
  using ReceiveHandler = std::function<void(std::string Bytes)>;

  DatagramSocket(NetRuntime &Loop, std::string Address, ReceiveHandler Handler);

  /// Binds IP:PORT and starts receiving; port 0 picks a free port.
  Result<void> start();
  void stop();

  /// Sends to IP:PORT. A datagram that can't be sent immediately is dropped and
  /// counted in sendFailures().
  void send(const std::string &Address, const std::string &Bytes);

  std::uint16_t port() const { return this->Port; }
  std::uint64_t sendFailures() const { return this->SendFailures; }

private:
  void receiveNext();
  void onReadable(const boost::system::error_code &Failure);
  const boost::asio::ip::udp::endpoint *resolve(const std::string &Address);

  std::shared_ptr<NetTraffic> Traffic;
  std::string Address;
  ReceiveHandler Handler;
  boost::asio::ip::udp::socket Socket;
  std::vector<char> Buffer;
  /// Parsed endpoints of the addresses used so far.
  std::map<std::string, boost::asio::ip::udp::endpoint> ResolvedEndpoints;
  std::uint16_t Port = 0;
  std::uint64_t SendFailures = 0;
};

} // namespace bergamothook

#endif
