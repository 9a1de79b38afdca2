/// \file
/// A plain TCP socket for tests that send input that no HTTP client sends.

#ifndef BERGAMOTHOOK_TESTS_LIBHTTP_RAWSOCKET_H
#define BERGAMOTHOOK_TESTS_LIBHTTP_RAWSOCKET_H

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamothook {

class RawSocket {
public:
  /// Connects to a port of 127.0.0.1.
  explicit RawSocket(std::uint16_t Port);
  /// Takes ownership of the descriptor \p Fd.
  static RawSocket adopt(int Fd);
  ~RawSocket();
  RawSocket(RawSocket &&Other) noexcept : Fd(Other.Fd) { Other.Fd = -1; }
  RawSocket &operator=(RawSocket &&) = delete;

  bool isConnected() const { return this->Fd >= 0; }

  /// \returns false if the peer has disconnected.
  bool send(const std::string &Bytes);

  /// Reads until \p Marker is received, the peer closes the connection, or
  /// nothing is received for ten seconds. \returns all bytes read.
  std::string readUntil(const std::string &Marker);

  /// Reads until the peer closes the connection.
  std::string readToEnd();

  /// Reads \p Bytes bytes, or fewer if the peer closes the connection.
  std::string readExactly(std::size_t Bytes);

  /// Sends a FIN; the peer can still send.
  void endSending();

  /// Sends a RST.
  void reset();

  /// Waits for the peer to end the connection, without reading its bytes.
  void awaitEnd(std::chrono::milliseconds Limit);

private:
  RawSocket() = default;
  void close();
  int Fd = -1;
};

/// A listening socket whose connections the test handles itself.
class RawListener {
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener &) = delete;
  RawListener &operator=(const RawListener &) = delete;

  std::uint16_t port() const;
  /// \returns an unconnected socket after stop().
  RawSocket accept();

  void stop();

  /// Bounds what the kernel receives ahead on connections accepted from now on.
  void setReceiveBuffer(int Bytes);

private:
  int Fd;
};

} // namespace bergamothook

#endif
