/// \file
/// A UDP port. Datagrams may get lost, also here when the system's buffers are
/// full.

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
  /// Takes a datagram; called between tasks, and must not wait.
  using Take = std::function<void(std::string Bytes)>;

  DatagramSocket(NetRuntime &Loop, std::string Address, Take Handler);

  /// Binds IP:PORT and starts receiving; port 0 takes a free one.
  Result<void> start();
  void stop();

  /// Sends to IP:PORT. A datagram that can't be sent at once is lost, and
  /// counted.
  void send(const std::string &Address, const std::string &Bytes);

  std::uint16_t port() const { return this->Port; }
  std::uint64_t lostHere() const { return this->LostHere; }

private:
  void receiveNext();
  void onReadable(const boost::system::error_code &Failure);
  const boost::asio::ip::udp::endpoint *resolve(const std::string &Address);

  std::string Address;
  Take Handler;
  boost::asio::ip::udp::socket Socket;
  std::vector<char> Buffer;
  /// Addresses that were sent to.
  std::map<std::string, boost::asio::ip::udp::endpoint> Known;
  std::uint16_t Port = 0;
  std::uint64_t LostHere = 0;
};

} // namespace bergamothook

#endif
