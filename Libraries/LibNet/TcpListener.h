/// \file
/// A listening TCP socket that passes its connections to a handler.

#ifndef BERGAMOTHOOK_LIBNET_TCPLISTENER_H
#define BERGAMOTHOOK_LIBNET_TCPLISTENER_H

#include "LibNet/TcpConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace bergamothook {

struct TcpListenerSettings {
  /// IP:PORT; port 0 picks a free port.
  std::string Address;
  /// Maximum number of connections that wait in the kernel's accept queue.
  int Backlog = 1024;
  /// Maximum number of open connections; further ones wait in the accept queue.
  std::size_t MaxConnections = 3000;
  TcpLimits Limits;
  /// Called when a connection waits in the accept queue while MaxConnections
  /// are open; may close one of them. Called again later if it returns false.
  std::function<bool()> MakeRoom = {};
};

/// Accepts connections and spawns a task for each.
class TcpListener {
public:
  /// Serves one connection in a task of its own.
  using Serve = std::function<void(TcpConnection::Handle)>;

  TcpListener(NetRuntime &Loop, TcpListenerSettings Settings, Serve Handler);

  /// Binds the port and starts accepting. Fails if another process listens on
  /// the port.
  Result<void> start();

  /// Stops accepting; open connections continue.
  void stop();

  /// Calls MakeRoom again if connections wait in the accept queue, as another
  /// connection may be closed now.
  void resume();

  /// \returns whether a connection waits in the accept queue.
  bool hasWaiting();

  std::uint16_t port() const { return this->Port; }
  std::size_t connections() const { return this->OpenConnections; }

private:
  void acceptNext();
  void retryLater();
  void onAcceptable(const boost::system::error_code &Failure);
  void serve(boost::asio::ip::tcp::socket Socket);

  NetRuntime &Loop;
  Runtime Tasks;
  TcpListenerSettings Settings;
  Serve Handler;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer RetryTimer;
  std::uint16_t Port = 0;
  std::size_t OpenConnections = 0;
  bool IsPaused = false;
};

} // namespace bergamothook

#endif
