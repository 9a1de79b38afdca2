/// \file
/// A server that answers with arbitrary bytes and ends its connections in any
/// way, for tests of the readers of responses.

#ifndef BERGAMOTHOOK_TESTS_LIBHTTP_RAWSERVER_H
#define BERGAMOTHOOK_TESTS_LIBHTTP_RAWSERVER_H

#include "RawSocket.h"

#include <functional>
#include <thread>
#include <vector>

namespace bergamothook {

/// How a server ends a connection after its response.
enum class ServerEnd {
  /// The connection is kept for another request.
  None,
  /// If received bytes are unread, the kernel sends a RST instead of a FIN.
  Close,
  Reset,
  /// Ends the sending side only, and reads nothing any more.
  HalfClose,
  HalfCloseThenReset,
};

struct RawResponse {
  std::string Bytes;
  /// How much of the request's body is read first.
  std::size_t ReadBytes = 0;
  ServerEnd End = ServerEnd::Close;
};

/// Serves each connection in a thread of its own. The clients' connections must
/// be closed before it is destroyed.
class RawServer {
public:
  using Respond = std::function<RawResponse(const std::string &RequestHead)>;

  /// \p Handler is called from the threads of the connections.
  explicit RawServer(Respond Handler);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  std::uint16_t port() const { return this->Listener.port(); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port());
  }

  /// Of each connection, far less than a long upload.
  static constexpr int ReceiveBufferBytes = 16 * 1024;

private:
  void serve(RawSocket Connection) const;

  Respond Handler;
  RawListener Listener;
  /// Of the connections; used by Acceptor alone until it has ended.
  std::vector<std::thread> Connections;
  std::thread Acceptor;
};

/// \returns the value of the first field with that name in a head; empty if
/// there is none.
std::string rawFieldOf(const std::string &Head, const std::string &Name);

} // namespace bergamothook

#endif
