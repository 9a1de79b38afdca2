/// \file
/// A listening TCP port whose connections are handed to a hook.

#ifndef BERGAMOTHOOK_LIBNET_TCPLISTENER_H
#define BERGAMOTHOOK_LIBNET_TCPLISTENER_H

#include "LibNet/TcpConnection.h"

#include <functional>

namespace bergamothook {

struct TcpListenerSettings {
  /// IP:PORT; port 0 takes a free one.
  std::string Address;
  /// Connections that wait for acceptance in the kernel.
  int Backlog = 1024;
  /// Open connections at the most; further ones wait in the kernel.
  std::size_t MaxConnections = 3000;
  TcpLimits Limits;
};

/// Accepts connections and starts a task for each.
class TcpListener {
public:
  /// Serves one connection; runs in a task of its own.
  using Serve = std::function<void(TcpConnection::Handle)>;

  TcpListener(NetRuntime &Loop, TcpListenerSettings Settings, Serve Handler);

  /// Binds the port and starts accepting. The port is exclusive: an error also
  /// means that another process holds it.
  Result<void> start();

  /// Accepts nothing more; connections that are open go on.
  void stop();

  std::uint16_t port() const { return this->Port; }
  std::size_t connections() const { return this->Open; }

private:
  void acceptNext();
  void onAcceptable(const boost::system::error_code &Failure);
  void serve(boost::asio::ip::tcp::socket Socket);

  NetRuntime &Loop;
  Runtime Tasks;
  TcpListenerSettings Settings;
  Serve Handler;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  std::size_t Open = 0;
  bool IsPaused = false;
};

} // namespace bergamothook

#endif
